import type { Millis } from "@jaypass/kernel";
import type { PlacementJob } from "@jaypass/placement";
import type { AnswerHandler, AttemptState } from "./attempt.ts";
import { findPriority } from "./find_priority.ts";
import { hasBegun } from "./has_begun.ts";
import { isRepeatable } from "./is_repeatable.ts";
import { listUnusableServers } from "./list_unusable_servers.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";
import { findLatestFirstByteMs } from "./stop_limit.ts";

/** Describes the next attempt of a request for placement; each description has an id of its own. */
export function describeJob(
  context: ForwardingContext,
  request: CallerRequest,
  state: AttemptState,
  handler: AnswerHandler,
  excludedIds: readonly string[] = state.excludedIds,
): PlacementJob {
  const { metadata, route } = request;
  const unusable = listUnusableServers(context, request);
  const now = context.clock.nowMs();
  const configuration = context.configuration();
  const service = configuration?.services.get(request.service);
  return {
    id: context.createJobId(request.id),
    service: request.service,
    promptTokens: metadata.promptTokens,
    answerTokens: metadata.estimatedAnswerTokens ?? metadata.maxAnswerTokens,
    goalMs: route.goalMs,
    pauseGoalMs: route.pauseGoalMs,
    remainingMs: findFirstByteDeadlineMs(context, request, handler) - now,
    wholeWithinMs: request.endMs - now,
    elapsedMs: now - request.arrivalMs,
    excludedIds: [...new Set([...excludedIds, ...unusable.map(({ id }) => id)])],
    isRetry: state.sendCount > 0,
    isContinuation: (handler.resumeAfter() ?? metadata.lastEventId) !== undefined,
    fingerprint: request.fingerprint,
    parts: metadata.promptParts,
    isRepeatable: isRepeatable(request),
    ...(service?.isPrioritized === true && {
      ...(request.workspace !== undefined && { workspace: request.workspace }),
      ...findPriority(configuration, request),
    }),
  };
}

/**
 * Finds the monotonic time until which a first byte from the next server is useful: until the caller
 * gives up, or until the answer could not end before the host any more if that is earlier.
 */
function findFirstByteDeadlineMs(
  context: ForwardingContext,
  request: CallerRequest,
  handler: AnswerHandler,
): Millis {
  const callerMs = findCallerDeadlineMs(context, request, handler);
  return hasBegun(handler) ? callerMs : Math.min(callerMs, findLatestFirstByteMs(context, request));
}

/** Reports whether the end of the host, rather than the caller, limits the time to the first byte. */
export function isLimitedByStop(
  context: ForwardingContext,
  request: CallerRequest,
  handler: AnswerHandler,
): boolean {
  return findFirstByteDeadlineMs(context, request, handler) <
    findCallerDeadlineMs(context, request, handler);
}

/**
 * Finds the monotonic time until which a caller waits for the first byte from the next server.
 *
 * Before the first event, this is the time at which callers abandon a stream, or the deadline if
 * that is earlier. Afterwards, or if the caller stays connected for longer, only the deadline
 * counts.
 */
function findCallerDeadlineMs(
  { clock }: ForwardingContext,
  request: CallerRequest,
  handler: AnswerHandler,
): Millis {
  const patienceMs = request.arrivalMs + request.route.patienceMs;
  return hasBegun(handler) || patienceMs <= clock.nowMs()
    ? request.endMs
    : Math.min(request.endMs, patienceMs);
}

/** Reports whether the route allows that the request is sent once more. */
export function hasAttemptLeft({ route }: CallerRequest, state: AttemptState): boolean {
  return state.sendCount - state.lostCount < route.maxAttempts;
}
