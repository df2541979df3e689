import type { HedgeGrant } from "../create_hedge_budget.ts";
import type { Run } from "./create_concurrent_runs.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/** Record of the hedge of one request, of which there is at most one at a time. */
export interface HedgeRecord {
  /** Records that a hedge has started beside the first run. */
  start(hedge: Run, first: Run, grant: HedgeGrant): void;
  /**
   * Records that a run has continued the answer, or that the request has ended without an answer.
   *
   * @returns true if this has decided between the hedge and the first run
   */
  settle(winner: Run | undefined): boolean;
  /** Records that a run has ended without an answer. */
  recordFailure(run: Run): void;
}

/**
 * Creates the record of a request's hedge, which counts and logs its outcome once. The hedge budget is
 * charged with the time of the hedge until the outcome, since the first run takes its time in any case.
 * The time of the run that does not answer is counted as in vain, unless it was the first one and failed.
 *
 * @param context services of the host
 * @param request the caller's request
 * @returns the record of a request without a hedge
 */
export function createHedgeRecord(
  { log, metrics }: ForwardingContext,
  request: CallerRequest,
): HedgeRecord {
  let pending: { hedge: Run; first: Run; grant: HedgeGrant } | undefined;
  let hasFirstFailed = false;

  const settle = (winner: Run | undefined): boolean => {
    if (pending === undefined) return false;
    const { hedge, first, grant } = pending;
    pending = undefined;
    const hasWon = winner === hedge;
    const result = hasWon ? "won" : "lost";
    const vainMs = hasWon && hasFirstFailed ? 0 : Math.round((hasWon ? first : hedge).runMs());
    grant.settle(hedge.runMs());
    metrics.increment("hedge", { result });
    metrics.increment("hedge_vain_ms", {}, vainMs);
    log.info({
      requestId: request.id,
      route: request.route.name,
      server: first.serverId,
      other: hedge.serverId,
      result,
      vainMs,
    }, "Hedge of a slow request ended");
    return true;
  };

  return {
    start(hedge, first, grant) {
      pending = { hedge, first, grant };
      hasFirstFailed = false;
      metrics.increment("hedge", { result: "started" });
    },
    settle,
    recordFailure(run) {
      if (run === pending?.first) hasFirstFailed = true;
      if (run === pending?.hedge) settle(undefined);
    },
  };
}
