import type { Millis } from "@jaypass/kernel";
import type { PlacementJob } from "@jaypass/placement";
import { ROUTE_KIND } from "../types.ts";
import type { AnswerHandler, AttemptState } from "./attempt.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/** Describes a request, as far as it has come, for placement. */
export function describeJob(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  handler: AnswerHandler,
): PlacementJob {
  const { metadata: facts, route } = request;
  const attempt = state.sends + state.connectFailures;
  const now = context.clock.nowMs();
  return {
    id: `${request.id}.${attempt}`,
    service: request.service,
    promptTokens: facts.promptTokens,
    answerTokens: facts.estimatedAnswerTokens ?? facts.maxAnswerTokens,
    goalMs: route.goalMs,
    pauseGoalMs: route.pauseGoalMs,
    remainingMs: patienceEndMs(request, now, handler.resumeAfter() !== undefined) - now,
    wholeWithinMs: request.endMs - now,
    elapsedMs: now - request.arrivalMs,
    excludedIds: state.excludedIds,
    isRetry: state.sends > 0,
    fingerprint: request.fingerprint,
    isRepeatable: isRepeatable(request),
  };
}

/** Monotonic time up to which a first event is of use; a caller that waits on is served on. */
function patienceEndMs(request: CallerRequest, nowMs: Millis, hasBegun: boolean): Millis {
  const patienceMs = request.arrivalMs + request.route.patienceMs;
  return hasBegun || patienceMs <= nowMs ? request.endMs : Math.min(request.endMs, patienceMs);
}

/** Reports whether the request may run at a second server. */
export function isRepeatable(request: CallerRequest): boolean {
  const { kind, isResumable } = request.route;
  return kind === ROUTE_KIND.IDEMPOTENT || (kind === ROUTE_KIND.STREAMING && isResumable);
}
