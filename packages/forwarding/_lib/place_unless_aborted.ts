import { JOB_OUTCOME } from "@jaypass/placement";
import type { PlacementDecision, PlacementJob } from "@jaypass/placement";
import type { AnswerHandler, Attempt } from "./attempt.ts";
import { hasBegun } from "./has_begun.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";
import { canStart, watchLatestStart } from "./stop_limit.ts";

/** Reports whether a placed request may still be sent, although the host may be stopping. */
export function isInTime(
  context: ForwardingContext,
  request: CallerRequest,
  { decision, handler }: Pick<Attempt, "decision" | "handler">,
): boolean {
  return hasBegun(handler) || canStart(context, request, decision);
}

/** Lists those of the servers of a decision that want no requests now. */
export function listUnwillingIds(
  context: ForwardingContext,
  { serverId, helperIds }: PlacementDecision & { kind: "placed" },
): string[] {
  return [serverId, ...helperIds].filter((id) => {
    const server = context.findServer(id);
    return server !== undefined && context.notices.waitMs(server) > 0;
  });
}

/**
 * Places a job; undefined if the caller leaves, its deadline passes, or the host stops so soon that
 * the request cannot be answered any more, before the decision.
 */
export async function placeUnlessAborted(
  context: ForwardingContext,
  request: CallerRequest,
  job: PlacementJob,
  handler: AnswerHandler,
): Promise<PlacementDecision | undefined> {
  const { signal } = request;
  const isTooLate = !hasBegun(handler) && !canStart(context, request);
  if (signal.aborted || isTooLate) return undefined;
  let onAbort = () => {};
  const aborted = new Promise<undefined>((resolve) => {
    onAbort = () => resolve(undefined);
    signal.addEventListener("abort", onAbort, { once: true });
  });
  const endWatch = hasBegun(handler) ? () => {} : watchLatestStart(context, request, onAbort);
  const pendingDecision = context.placement.place(job);
  const decision = await Promise.race([pendingDecision, aborted]);
  signal.removeEventListener("abort", onAbort);
  endWatch();
  if (decision !== undefined) return decision;
  context.placement.cancel(job.id);
  // The job may be placed before the cancellation takes effect, and must then be ended as well.
  pendingDecision.then(() => context.placement.finished(job.id, JOB_OUTCOME.CANCELLED));
  return undefined;
}
