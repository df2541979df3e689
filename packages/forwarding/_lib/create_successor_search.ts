import { JOB_OUTCOME } from "@jaypass/placement";
import type { PlacementDecision, PlacementJob } from "@jaypass/placement";
import { MAX_CONNECT_FAILURES, MAX_DIVERSIONS, MIN_RETRY_REMAINING_MS } from "../constants.ts";
import type { HedgeGrant } from "../create_hedge_budget.ts";
import type { RunningAttempt } from "./attempt.ts";
import { describeJob, hasAttemptLeft } from "./describe_job.ts";
import { isRepeatable } from "./is_repeatable.ts";
import { isInTime, listUnwillingIds, placeUnlessAborted } from "./place_unless_aborted.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/** Why another server is searched. */
export type SilenceReason = "no_first_byte" | "stalled" | "unreachable" | "other_failed";

/** Search for another server for a request whose server is silent. */
export interface SuccessorSearch {
  /** Starts to search unless a search runs or no other server may get the request. */
  start(reason: SilenceReason): void;
  /** The same for a request that is slower than usual and may be hedged, within the hedge budget. */
  startHedge(): void;
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
  { server, state, handler, run: current, runs, onSuccessor }: Omit<
    RunningAttempt,
    "job" | "decision"
  >,
): SuccessorSearch {
  const { clock, log, metrics, placement } = context;
  let running: AbortController | undefined;

  const isAllowed = () =>
    !request.signal.aborted && runs.mayStartBeside(current) &&
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

  const recordDenial = (reason: string) => {
    metrics.increment("hedge", { result: "denied" });
    log.info(
      { requestId: request.id, route: request.route.name, server: server.id, reason },
      "Hedge of a slow request denied",
    );
  };

  const describe = (): PlacementJob => {
    const excludedIds = [...state.excludedIds, ...runs.list().map(({ serverId }) => serverId)];
    return describeJob(context, request, state, handler, excludedIds);
  };

  /** Places a job; undefined if it is refused or not needed any more. */
  const place = async (
    job: PlacementJob,
    { signal }: AbortController,
    onRefused: (refusal: string) => void,
  ) => {
    const abortable = { ...request, signal: AbortSignal.any([request.signal, signal]) };
    const decision = await placeUnlessAborted(context, abortable, job, handler);
    if (decision === undefined) return undefined;
    if (decision.kind === "refused") return void onRefused(decision.reason);
    const isOver = signal.aborted || request.signal.aborted;
    if (isOver || !runs.mayStartBeside(current) || !isUsable(decision)) {
      return void placement.finished(job.id, JOB_OUTCOME.CANCELLED);
    }
    return decision;
  };

  const search = async (reason: SilenceReason, controller: AbortController) => {
    const job = describe();
    const decision = await place(
      job,
      controller,
      (refusal) => record(reason, "kept", { refusal }),
    );
    if (decision === undefined) return;
    record(reason, "second_run", { next: decision.serverId });
    onSuccessor({ job, decision });
  };

  const searchForHedge = async (hedge: HedgeGrant, controller: AbortController) => {
    const job = { ...describe(), isRetry: true, isHedge: true };
    const decision = await place(job, controller, recordDenial);
    if (decision === undefined) hedge.giveBack();
    else onSuccessor({ job, decision, hedge });
  };

  const run = (search: (controller: AbortController) => Promise<void>) => {
    const controller = new AbortController();
    running = controller;
    void search(controller).finally(() => {
      if (running === controller) running = undefined;
    });
  };

  return {
    start(reason) {
      current.recordSilence();
      if (running !== undefined || !isAllowed()) return;
      run((controller) => search(reason, controller));
    },
    startHedge() {
      current.recordSlowness();
      if (running !== undefined || !isAllowed()) return;
      const hedge = context.hedging?.tryTake(request.service);
      if (hedge === undefined) return recordDenial("hedge_budget");
      run((controller) => searchForHedge(hedge, controller));
    },
    cancel() {
      running?.abort();
      running = undefined;
    },
  };
}
