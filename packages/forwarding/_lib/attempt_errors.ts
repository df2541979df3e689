/**
 * Errors that end a request without an answer of a server. Status 503 is used only if the request has
 * not run, and 502 if it may have.
 *
 * @module
 */
import { PLACEMENT_REFUSAL } from "@jaypass/placement";
import type { PlacementDecision } from "@jaypass/placement";
import { REJECTED_RETRY_AFTER_MS } from "../constants.ts";
import { FAILURE, ForwardingError } from "../errors.ts";
import type { AttemptResult, AttemptState } from "./attempt.ts";
import { computePauseRetryMs } from "./compute_pause_retry_ms.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/** Creates the error of a request that placement refused. */
export function createRefusalError(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  decision: PlacementDecision & { kind: "refused" },
): ForwardingError {
  if (state.mayHaveRun) return new ForwardingError(502, state.last?.failure ?? FAILURE.INTERNAL);
  if (decision.reason === PLACEMENT_REFUSAL.NO_SERVER) {
    const pauseError = createPauseError(context, request);
    if (pauseError !== undefined) return pauseError;
  }
  return new ForwardingError(503, decision.reason, { retryAfterMs: decision.retryAfterMs });
}

/** Creates the error of a request that was not run because all servers of its service pause. */
function createPauseError(
  context: ForwardingContext,
  request: CallerRequest,
): ForwardingError | undefined {
  const retryAfterMs = computePauseRetryMs(context, request);
  return retryAfterMs === undefined
    ? undefined
    : new ForwardingError(503, FAILURE.SERVERS_PAUSED, { retryAfterMs });
}

/** Creates the error of a request whose placed servers are gone or take no requests. */
export function createNoServerError(state: AttemptState): ForwardingError {
  if (state.mayHaveRun) return new ForwardingError(502, FAILURE.NO_SERVER);
  return new ForwardingError(503, FAILURE.NO_SERVER, { retryAfterMs: REJECTED_RETRY_AFTER_MS });
}

/** Creates the error of a request that is given up before it is sent to the next server. */
export function createAbortError(request: CallerRequest, state: AttemptState): ForwardingError {
  if (request.signal.aborted) return createDeadlineError(request);
  return createStoppingError(state);
}

/**
 * Creates the error of a request that a stopping host gives up; `state` is undefined before the first
 * attempt.
 */
export function createStoppingError(state: Readonly<AttemptState> | undefined): ForwardingError {
  const mayHaveRun = state !== undefined && (state.mayHaveRun || state.inFlightCount > 0);
  return mayHaveRun
    ? new ForwardingError(502, FAILURE.STOPPING)
    : new ForwardingError(503, FAILURE.STOPPING, { retryAfterMs: 0 });
}

function createDeadlineError(request: CallerRequest): ForwardingError {
  return new ForwardingError(504, request.endFailure);
}

/** Creates the error of a request after its last attempt. */
export function createFailureError(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  result: AttemptResult,
): ForwardingError {
  if (request.signal.aborted) return createDeadlineError(request);
  if (state.mayHaveRun) return new ForwardingError(502, result.failure);
  const pauseError = createPauseError(context, request);
  if (pauseError !== undefined) return pauseError;
  return new ForwardingError(503, result.failure, { retryAfterMs: REJECTED_RETRY_AFTER_MS });
}
