import { JOB_OUTCOME } from "@jaypass/placement";
import type { JobOutcome } from "@jaypass/placement";
import type { Run } from "./create_concurrent_runs.ts";
import type { CallerRequest } from "./request_context.ts";

/**
 * Finds the outcome of a run that was dropped. Placement avoids a server that was still silent when
 * another one continued the answer, but not a server that was sending data itself.
 *
 * @param request the caller's request
 * @param run the dropped run
 * @returns the outcome for placement
 */
export function findDroppedOutcome(request: CallerRequest, run: Pick<Run, "isSilent">): JobOutcome {
  return run.isSilent() && !request.signal.aborted ? JOB_OUTCOME.SILENT : JOB_OUTCOME.CANCELLED;
}
