import { JOB_OUTCOME } from "@jaypass/placement";
import type { PlacementDecision } from "@jaypass/placement";
import { MAX_CONNECT_FAILURES, MAX_DIVERSIONS, MIN_RETRY_REMAINING_MS } from "../constants.ts";
import type { RunningAttempt } from "./attempt.ts";
import { describeJob, hasAttemptLeft, isRepeatable } from "./describe_job.ts";
import { isInTime, listUnwillingIds, placeUnlessAborted } from "./place_unless_aborted.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/** Why another server is searched. */
export type SilenceReason = "no_first_byte" | "stalled" | "unreachable" | "other_failed";

/** Search for another server for a request whose server is silent. */
export interface SuccessorSearch {
  /** Starts to search unless a search runs or no other server may get the request. */
  start(reason: SilenceReason): void;
  /** Ends a running search, since the server has sent data or the attempt has ended. */
  cancel(): void;
}

/**
 * Creates the search for another server.
 *
 * A silent server may go on with its answer, and another one may fail, so the exchange goes on until one
 * of them has continued the answer. Data that arrives before the other server gets the request ends the
 * search.
 *
 * @param context services of the host
 * @param request the caller's request
 * @param attempt the attempt at the silent server
 * @returns the search, which has not started
 */
export function createSuccessorSearch(
  context: ForwardingContext,
  request: CallerRequest,
  { server, state, handler, run, runs, onSuccessor }: Omit<RunningAttempt, "job" | "decision">,
): SuccessorSearch {
  const { clock, log, metrics, placement } = context;
  let running: AbortController | undefined;

  const isAllowed = () =>
    !request.signal.aborted && runs.mayStartBeside(run) &&
    isRepeatable(request) && handler.canContinue() && hasAttemptLeft(request, state) &&
    state.connectFailureCount < MAX_CONNECT_FAILURES && state.diversionCount < MAX_DIVERSIONS &&
    request.endMs - clock.nowMs() >= MIN_RETRY_REMAINING_MS;

  const isUsable = (decision: PlacementDecision & { kind: "placed" }) =>
    isInTime(context, request, { decision, handler }) &&
    context.findServer(decision.serverId) !== undefined &&
    listUnwillingIds(context, decision).length === 0;

  const record = (reason: SilenceReason, result: "second_run" | "kept", other: object) => {
    metrics.increment("silent_server", { reason, result });
    log.info(
      { requestId: request.id, server: server.id, reason, result, ...other },
      "Another server was searched for a request whose server is silent",
    );
  };

  const search = async (reason: SilenceReason, { signal }: AbortController) => {
    const excludedIds = [...state.excludedIds, ...runs.list().map(({ serverId }) => serverId)];
    const job = describeJob(context, request, state, handler, excludedIds);
    const abortable = { ...request, signal: AbortSignal.any([request.signal, signal]) };
    const decision = await placeUnlessAborted(context, abortable, job, handler);
    if (decision === undefined) return;
    if (decision.kind === "refused") return record(reason, "kept", { refusal: decision.reason });
    const isOver = signal.aborted || request.signal.aborted;
    if (isOver || !runs.mayStartBeside(run) || !isUsable(decision)) {
      return placement.finished(job.id, JOB_OUTCOME.CANCELLED);
    }
    record(reason, "second_run", { next: decision.serverId });
    onSuccessor({ job, decision });
  };

  return {
    start(reason) {
      run.recordSilence();
      if (running !== undefined || !isAllowed()) return;
      const controller = new AbortController();
      running = controller;
      void search(reason, controller).finally(() => {
        if (running === controller) running = undefined;
      });
    },
    cancel() {
      running?.abort();
      running = undefined;
    },
  };
}
