import { JOB_OUTCOME } from "@jaypass/placement";
import type { JobOutcome, PlacementDecision } from "@jaypass/placement";
import { FAILURE } from "../errors.ts";
import type { Attempt, AttemptResult, AttemptState, RunningAttempt } from "./attempt.ts";
import { createAbortError } from "./attempt_errors.ts";
import { exchangeOnce } from "./exchange_once.ts";
import { findDroppedOutcome } from "./find_dropped_outcome.ts";
import { isInTime, listUnwillingIds } from "./place_unless_aborted.ts";
import type { CallerRequest, ForwardingContext, Reservation } from "./request_context.ts";

/**
 * Sends a request to the servers of a decision, and reports the end of the attempt to placement.
 *
 * @param context services of the host
 * @param request the caller's request
 * @param attempt the attempt
 * @returns how the attempt ended; undefined if it was not sent: because one of the servers wants no
 * requests, which it may have stated after the decision, because its run was dropped while memory was
 * reserved, or because a stop leaves no time for it while another run is in progress
 * @throws {ForwardingError} if the request cannot be sent to any server
 */
export async function runAttempt(
  context: ForwardingContext,
  request: CallerRequest,
  attempt: RunningAttempt,
): Promise<AttemptResult | undefined> {
  const { job, decision, state, run } = attempt;
  if (listUnwillingIds(context, decision).length > 0) {
    context.placement.finished(job.id, JOB_OUTCOME.CANCELLED);
    divert(context, request, state, decision);
    return undefined;
  }
  let faultyId: string | undefined;
  let reservation: Reservation | undefined;
  let isFinished = false;
  const finish = (outcome: JobOutcome) => {
    reservation?.release();
    reservation = undefined;
    if (isFinished) return;
    isFinished = true;
    context.placement.finished(job.id, outcome, faultyId);
  };
  // The slot and the memory of a dropped run are free before its exchange has ended.
  const onDropped = () => finish(findDroppedOutcome(request, run));
  run.signal.addEventListener("abort", onDropped, { once: true });
  let outcome: JobOutcome = JOB_OUTCOME.CANCELLED;
  try {
    reservation = await reserveMemory(context, attempt);
    if (run.signal.aborted) return undefined;
    if (decision.tickets.length > 0 && reservation === undefined) {
      state.connectFailureCount += 1;
      return { outcome: JOB_OUTCOME.REJECTED, isDone: false, failure: FAILURE.TOO_LARGE };
    }
    // The reservation may have taken long.
    if (!isInTime(context, request, attempt)) {
      if (run.hasOther()) return undefined;
      throw createAbortError(request, state);
    }
    // The reservation takes a round trip, in which another answer may have arrived.
    if (listUnwillingIds(context, decision).length > 0) {
      divert(context, request, state, decision);
      return undefined;
    }
    const result = await exchangeOnce(context, request, attempt, {
      reservation,
      onFaultyServer: (address) => {
        faultyId = context.findServerAt(address);
        context.log.info(
          { requestId: request.id, server: decision.serverId, faulty: faultyId ?? address },
          "Request rejected because of a faulty server",
        );
      },
    });
    outcome = result.outcome;
    return result;
  } finally {
    run.signal.removeEventListener("abort", onDropped);
    finish(outcome);
  }
}

async function reserveMemory(
  context: ForwardingContext,
  { job, decision }: Attempt,
): Promise<Reservation | undefined> {
  if (decision.tickets.length === 0) return undefined;
  const memoryPlans = decision.tickets.flatMap(({ serverId, tokens }) => {
    const address = context.findServer(serverId)?.address;
    return address === undefined ? [] : [{ address, serverId, tokens }];
  });
  if (memoryPlans.length < decision.tickets.length) return undefined;
  return await context.reservations.reserve(job.id, memoryPlans);
}

/** Excludes the servers because of which a placement was given up. */
function divert(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  decision: PlacementDecision & { kind: "placed" },
): void {
  const serverIds = listUnwillingIds(context, decision);
  state.diversionCount += 1;
  state.excludedIds.push(...serverIds);
  context.metrics.increment("diversion");
  context.log.info(
    { requestId: request.id, servers: serverIds },
    "Placing request again: a chosen server wants no requests",
  );
}
