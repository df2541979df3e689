import type { Millis } from "@jaypass/kernel";
import type { PlacementDecision } from "@jaypass/placement";
import { computeAnswerMs } from "../compute_answer_ms.ts";
import { computeLatestStartMs } from "../compute_latest_start_ms.ts";
import { computeShortestFirstByteMs } from "../compute_shortest_first_byte_ms.ts";
import { computeStopAnswerMs } from "../compute_stop_answer_ms.ts";
import { isSecondServerInTime } from "../is_second_server_in_time.ts";
import { ROUTE_KIND } from "../types.ts";
import { isRepeatable } from "./is_repeatable.ts";
import type { CallerRequest, ForwardingContext, StopTime } from "./request_context.ts";

/** What placement expects of the server of a request. */
export type ServerExpectation = Pick<
  PlacementDecision & { kind: "placed" },
  "expectedMs" | "writeFactor"
>;

/** The parts of a request that decide whether its answer can end before the host does. */
export type StoppableRequest = Pick<
  CallerRequest,
  "endMs" | "metadata" | "receivedMs" | "route" | "service"
>;

/**
 * Reports whether a host may take a new request.
 *
 * During a stop, a request is taken if its deadline is before the end of the host. One that may last
 * longer is taken only from callers that cannot know of the stop yet or have no other host, and only
 * if its answer is expected to end in time with a margin. All others are refused, so that their
 * callers try another host at once.
 *
 * @param context services of the host
 * @param request the request
 * @param requests number of other requests in progress
 * @returns true if it may be taken
 */
export function canTakeRequest(
  context: ForwardingContext,
  request: StoppableRequest,
  requests: number,
): boolean {
  const stopTime = context.stop.time();
  if (stopTime === undefined) return true;
  if (context.stop.exit.aborted) return false;
  const endsBeforeHost = request.endMs <= context.clock.nowMs() + stopTime.remainingMs;
  return endsBeforeHost || (context.stop.isNeeded(requests) && canStart(context, request));
}

/**
 * Reports whether the answer of a request that is sent now is expected to end before the host, with the
 * margin of {@linkcode computeStopAnswerMs}.
 *
 * @param context services of the host
 * @param request the request
 * @param expected what placement expects of the server; by default the shortest possible time to the
 * first byte, and the usual speed
 */
export function canStart(
  context: ForwardingContext,
  request: StoppableRequest,
  expected?: ServerExpectation,
): boolean {
  return context.clock.nowMs() <= findLatestStartMs(context, request, expected);
}

/** Times of an answer that a stopping host has counted with, in milliseconds. */
export interface StopNeed {
  /** Expected time until the answer ends. */
  expectedAnswerMs: Millis;
  /** Time that must be left until the host ends. */
  neededMs: Millis;
}

/** Finds the times of a request that a stopping host takes now; undefined if it does not limit it. */
export function findStopNeed(
  context: ForwardingContext,
  request: StoppableRequest,
): StopNeed | undefined {
  const stopTime = context.stop.time();
  if (stopTime === undefined) return undefined;
  if (request.endMs <= context.clock.nowMs() + stopTime.remainingMs) return undefined;
  return computeStopNeed(context, request, stopTime);
}

/**
 * Calls a function once a waiting request could not be answered before the end of the host, also
 * if the host starts to stop during the wait.
 *
 * @returns the function that ends the watch
 */
export function watchLatestStart(
  context: ForwardingContext,
  request: StoppableRequest,
  onTooLate: () => void,
): () => void {
  const { signal } = context.stop;
  let timer: NodeJS.Timeout | undefined;
  const check = () => {
    const waitMs = findLatestStartMs(context, request) - context.clock.nowMs();
    if (waitMs < 0) onTooLate();
    // The margin and the end of the host may change meanwhile.
    else if (waitMs < Infinity) timer = setTimeout(check, waitMs + 1);
  };
  if (signal.aborted) check();
  else signal.addEventListener("abort", check, { once: true });
  return () => {
    clearTimeout(timer);
    signal.removeEventListener("abort", check);
  };
}

/**
 * Finds the monotonic time until which the first byte must arrive for the answer to end before the
 * host; `Infinity` if the host does not limit the request.
 */
export function findLatestFirstByteMs(
  context: ForwardingContext,
  request: StoppableRequest,
): Millis {
  return findLatestStartMs(context, request, { expectedMs: 0 });
}

/** Finds the monotonic time until which a request may be sent for its answer to end before the host. */
function findLatestStartMs(
  context: ForwardingContext,
  request: StoppableRequest,
  expected?: ServerExpectation,
): Millis {
  const stopTime = context.stop.time();
  if (stopTime === undefined) return Infinity;
  const { neededMs } = computeStopNeed(context, request, stopTime, expected);
  return computeLatestStartMs(
    { endMs: request.endMs, answerMs: neededMs },
    context.clock.nowMs() + stopTime.remainingMs,
  );
}

/** Computes the times that a stopping host counts with if it sends a request now. */
function computeStopNeed(
  context: ForwardingContext,
  { receivedMs, ...request }: StoppableRequest,
  stopTime: StopTime,
  expected?: ServerExpectation,
): StopNeed {
  const { clock, stop } = context;
  const { shortestFirstByteMs, usualWriteMs } = computeTimes(context, request);
  const { expectedMs: firstByteMs, writeFactor = 1 } = expected ??
    { expectedMs: shortestFirstByteMs };
  const writeMs = usualWriteMs * writeFactor;
  const longestWriteMs = computeStopAnswerMs(writeMs, {
    // The platform excuses the loss of a request that came early in the stop, however long it has waited.
    elapsedMs: stopTime.elapsedMs - (clock.nowMs() - receivedMs),
    hasOtherHosts: stop.hasOtherHosts(),
    hasSecondServer: mayHaveSecondServer(request, Math.max(firstByteMs, shortestFirstByteMs)),
  });
  // Answers that have not begun end with the exit, and those of other routes begin when they are whole.
  const lingerMs = request.route.kind === ROUTE_KIND.STREAMING ? stop.lingerMs() : 0;
  return {
    expectedAnswerMs: firstByteMs + writeMs,
    neededMs: firstByteMs + Math.max(writeMs, longestWriteMs - lingerMs),
  };
}

/** Reports whether a stream may go on at another server before the end of a silence of its server. */
function mayHaveSecondServer(
  request: Pick<StoppableRequest, "route">,
  firstByteMs: Millis,
): boolean {
  const { kind, maxAttempts, pauseGoalMs } = request.route;
  const isSearched = kind === ROUTE_KIND.STREAMING && pauseGoalMs > 0 && maxAttempts > 1;
  return isSearched && isRepeatable(request) && isSecondServerInTime(firstByteMs);
}

/** Computes the shortest time to the first byte, and the usual time that the answer takes after it. */
function computeTimes(
  context: ForwardingContext,
  { metadata, service }: Pick<StoppableRequest, "metadata" | "service">,
): { shortestFirstByteMs: Millis; usualWriteMs: Millis } {
  const profile = context.configuration()?.services.get(service)?.engine;
  // How long a call to a plain service takes is unknown, so that only its deadline bounds it.
  if (profile === undefined) return { shortestFirstByteMs: 0, usualWriteMs: Infinity };
  return {
    shortestFirstByteMs: computeShortestFirstByteMs(
      metadata,
      profile,
      context.listServers(service).length,
    ),
    usualWriteMs: computeAnswerMs(metadata, profile, { firstByteMs: 0 }),
  };
}
