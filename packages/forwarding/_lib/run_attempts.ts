import { JOB_OUTCOME } from "@jaypass/placement";
import type { JobOutcome, PlacementDecision } from "@jaypass/placement";
import { MAX_CONNECT_FAILURES, MAX_DIVERSIONS, MIN_RETRY_REMAINING_MS } from "../constants.ts";
import { FAILURE } from "../errors.ts";
import type { ForwardingError } from "../errors.ts";
import type { AnswerHandler, Attempt, AttemptResult, AttemptState } from "./attempt.ts";
import {
  createAbortError,
  createFailureError,
  createNoServerError,
  createRefusalError,
} from "./attempt_errors.ts";
import { describeJob, hasAttemptLeft, isRepeatable } from "./describe_job.ts";
import { exchangeOnce } from "./exchange_once.ts";
import { isInTime, listUnwillingIds, placeUnlessAborted } from "./place_unless_aborted.ts";
import type { CallerRequest, ForwardingContext, Reservation } from "./request_context.ts";

/**
 * Sends a request to one server after another until one answers or no further attempt is allowed.
 *
 * A request that must be executed at most once is not sent again unless every server that received
 * it stated that it did not execute it. Status 503 is answered only if that holds or if nothing was
 * sent. Once a part of an answer was sent to the caller, only servers that can continue it are tried.
 *
 * @param context services of the host
 * @param request the caller's request
 * @param handler passes answers on to the caller
 * @throws {ForwardingError} if the host itself must answer with a failure
 */
export async function runAttempts(
  context: ForwardingContext,
  request: CallerRequest,
  handler: AnswerHandler,
): Promise<void> {
  const state: AttemptState = {
    sendCount: 0,
    lostCount: 0,
    connectFailureCount: 0,
    diversionCount: 0,
    placementCount: 0,
    successor: undefined,
    mayHaveRun: false,
    isInFlight: false,
    excludedIds: [],
    last: undefined,
  };
  request.onAttempts(state);
  try {
    await runUntilDone(context, request, state, handler);
  } finally {
    if (state.successor !== undefined) {
      context.placement.finished(state.successor.job.id, JOB_OUTCOME.CANCELLED);
    }
  }
}

async function runUntilDone(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  handler: AnswerHandler,
): Promise<void> {
  /** Ends the request with the last server's own error answer if there is one. */
  const fail = (err: ForwardingError): void => {
    if (!deliverLastFailure(request, state)) throw err;
  };
  while (true) {
    const { job, decision } = takeSuccessor(state) ??
      await placeNext(context, request, state, handler);
    if (decision === undefined) return fail(createAbortError(request, state));
    if (decision.kind === "refused") {
      return fail(createRefusalError(context, request, state, decision));
    }
    const server = context.findServer(decision.serverId);
    const isTooLate = !isInTime(context, request, { decision, handler });
    if (request.signal.aborted || isTooLate || server === undefined) {
      context.placement.finished(job.id, JOB_OUTCOME.CANCELLED);
      if (request.signal.aborted || isTooLate) return fail(createAbortError(request, state));
      state.excludedIds.push(decision.serverId);
      state.connectFailureCount += 1;
      if (state.connectFailureCount >= MAX_CONNECT_FAILURES) throw createNoServerError(state);
      continue;
    }
    const result = await runAttempt(context, request, { job, decision, server, state, handler });
    if (result === undefined) {
      divert(context, request, state, decision);
      if (state.diversionCount >= MAX_DIVERSIONS) throw createNoServerError(state);
      continue;
    }
    context.log.info({
      requestId: request.id,
      server: server.id,
      configuration: context.configuration()?.version,
      send: state.sendCount,
      helpers: decision.helperIds.length,
      tickets: decision.tickets.length,
      expectedMs: Math.round(decision.expectedMs),
      elapsedMs: Math.round(context.clock.nowMs() - request.arrivalMs),
      outcome: result.outcome,
      failure: result.isDone ? undefined : result.failure,
      promptTokens: request.metadata.promptTokens || undefined,
      ...!result.isDone && describeContent(request),
      ...result.timing,
    }, "Attempt ended");
    if (result.isDone) return;
    state.last = result;
    state.excludedIds.push(server.id);
    if (!handler.canContinue() || !mayRetry(context, request, state, result)) {
      return fail(createFailureError(context, request, state, result));
    }
    context.metrics.increment("retry", { reason: result.failure });
  }
}

/** Describes by which content requests with failed attempts can be compared. */
function describeContent({ fingerprint, metadata }: CallerRequest) {
  return { fingerprint, parts: metadata.promptParts.join(" ") || undefined };
}

/** Returns the placement that was found while the last server was silent, and removes it. */
function takeSuccessor(state: AttemptState): AttemptState["successor"] {
  const { successor } = state;
  state.successor = undefined;
  return successor;
}

async function placeNext(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  handler: AnswerHandler,
) {
  const job = describeJob(context, request, state, handler);
  return { job, decision: await placeUnlessAborted(context, request, job, handler) };
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

/**
 * Sends a request to the servers of a decision.
 *
 * @returns how the attempt ended; undefined if it was not sent because one of the servers wants no
 * requests, which it may have stated after the decision
 */
async function runAttempt(
  context: ForwardingContext,
  request: CallerRequest,
  attempt: Attempt,
): Promise<AttemptResult | undefined> {
  const { job, decision } = attempt;
  if (listUnwillingIds(context, decision).length > 0) {
    context.placement.finished(job.id, JOB_OUTCOME.CANCELLED);
    return undefined;
  }
  const reservation = await reserveMemory(context, attempt);
  if (decision.tickets.length > 0 && reservation === undefined) {
    context.placement.finished(job.id, JOB_OUTCOME.CANCELLED);
    attempt.state.connectFailureCount += 1;
    return { outcome: JOB_OUTCOME.REJECTED, isDone: false, failure: FAILURE.TOO_LARGE };
  }
  let faultyId: string | undefined;
  let outcome: JobOutcome = JOB_OUTCOME.CANCELLED;
  try {
    // The reservation may have taken long.
    if (!isInTime(context, request, attempt)) throw createAbortError(request, attempt.state);
    // The reservation takes a round trip, in which another answer may have arrived.
    if (listUnwillingIds(context, decision).length > 0) return undefined;
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
    reservation?.release();
    context.placement.finished(job.id, outcome, faultyId);
  }
}

function mayRetry(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  result: AttemptResult,
): boolean {
  if (request.signal.aborted) return false;
  if (request.endMs - context.clock.nowMs() < MIN_RETRY_REMAINING_MS) return false;
  if (state.connectFailureCount >= MAX_CONNECT_FAILURES) return false;
  if (state.sendCount === 0) return true;
  if (!hasAttemptLeft(request, state)) return false;
  return result.outcome === JOB_OUTCOME.REJECTED && !state.mayHaveRun
    ? true
    : isRepeatable(request);
}

/**
 * Sends the last server's own error answer to the caller; returns false if there is none, or if the
 * caller does not wait any more.
 */
function deliverLastFailure(request: CallerRequest, state: AttemptState): boolean {
  if (request.signal.aborted || state.last?.deliver === undefined) return false;
  state.last.deliver();
  return true;
}
