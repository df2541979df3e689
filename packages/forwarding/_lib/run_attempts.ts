import { JOB_OUTCOME, PLACEMENT_REFUSAL } from "@jaypass/placement";
import { MAX_CONNECT_FAILURES, MAX_DIVERSIONS, MIN_RETRY_REMAINING_MS } from "../constants.ts";
import type { ForwardingError } from "../errors.ts";
import type { AnswerHandler, AttemptResult, AttemptState } from "./attempt.ts";
import {
  createAbortError,
  createFailureError,
  createNoServerError,
  createRefusalError,
} from "./attempt_errors.ts";
import { describeJob, hasAttemptLeft, isLimitedByStop } from "./describe_job.ts";
import { isRepeatable } from "./is_repeatable.ts";
import { isInTime, placeUnlessAborted } from "./place_unless_aborted.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";
import { runConcurrently } from "./run_concurrently.ts";
import { canStart } from "./stop_limit.ts";

/**
 * Sends a request to one server after another until one answers or no further attempt is allowed. While
 * a server is silent, a second one may have the request as well.
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
    mayHaveRun: false,
    inFlightCount: 0,
    excludedIds: [],
    traces: [],
    last: undefined,
  };
  request.onAttempts(state);
  await runUntilDone(context, request, state, handler);
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
    const { job, decision } = await placeNext(context, request, state, handler);
    if (decision === undefined) return fail(createAbortError(request, state));
    if (decision.kind === "refused") {
      const isUnservable = decision.reason === PLACEMENT_REFUSAL.UNSERVABLE;
      if (isUnservable && isLimitedByStop(context, request, handler)) {
        return fail(createAbortError(request, state));
      }
      return fail(createRefusalError(context, request, state, decision));
    }
    const server = context.findServer(decision.serverId);
    const isTooLate = !isInTime(context, request, { decision, handler });
    if (request.signal.aborted || isTooLate || server === undefined) {
      context.placement.finished(job.id, JOB_OUTCOME.CANCELLED);
      // Placement knows until when the first byte must come, but not how long the answer takes then.
      const mayOtherAnswer = decision.writeFactor !== undefined && canStart(context, request);
      if (request.signal.aborted || (isTooLate && !mayOtherAnswer)) {
        return fail(createAbortError(request, state));
      }
      state.excludedIds.push(decision.serverId);
      state.connectFailureCount += 1;
      if (state.connectFailureCount >= MAX_CONNECT_FAILURES) throw createNoServerError(state);
      continue;
    }
    const result = await runConcurrently(context, request, {
      job,
      decision,
      server,
      state,
      handler,
    });
    if (result === undefined) {
      if (state.diversionCount >= MAX_DIVERSIONS) throw createNoServerError(state);
      continue;
    }
    if (result.isDone) return;
    state.last = result;
    if (!handler.canContinue() || !mayRetry(context, request, state, result)) {
      return fail(createFailureError(context, request, state, result));
    }
    context.metrics.increment("retry", { reason: result.failure });
  }
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
