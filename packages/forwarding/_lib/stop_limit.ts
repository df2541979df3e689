import type { Millis } from "@jaypass/kernel";
import { computeAnswerMs } from "../compute_answer_ms.ts";
import { computeLatestStartMs } from "../compute_latest_start_ms.ts";
import { computeShortestFirstByteMs } from "../compute_shortest_first_byte_ms.ts";
import { computeStopAnswerMs } from "../compute_stop_answer_ms.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/** The parts of a request that decide whether its answer can end before the host does. */
export type StoppableRequest = Pick<CallerRequest, "endMs" | "metadata" | "service">;

/** What is known of the time that an answer takes. */
export interface AnswerTimeOptions {
  /** Expected milliseconds to the first byte, once the request is placed; the shortest by default. */
  firstByteMs?: Millis;
  /** Converts the expected time of the whole answer to the time that must be left for it. */
  addMargin?: (answerMs: Millis) => Millis;
}

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
  const { elapsedMs } = stopTime;
  const hasOtherHosts = context.stop.hasOtherHosts();
  const endsBeforeHost = request.endMs <= context.clock.nowMs() + stopTime.remainingMs;
  return endsBeforeHost ||
    (context.stop.isNeeded(requests) && canStart(context, request, {
      addMargin: (answerMs) => computeStopAnswerMs(answerMs, { elapsedMs, hasOtherHosts }),
    }));
}

/** Reports whether the answer of a request that is sent now is expected to end before the host. */
export function canStart(
  context: ForwardingContext,
  request: StoppableRequest,
  options: AnswerTimeOptions = {},
): boolean {
  return context.clock.nowMs() <= findLatestStartMs(context, request, options);
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
  const startTimer = () => {
    const waitMs = findLatestStartMs(context, request) - context.clock.nowMs();
    if (waitMs < Infinity) timer = setTimeout(onTooLate, Math.max(0, waitMs));
  };
  if (signal.aborted) startTimer();
  else signal.addEventListener("abort", startTimer, { once: true });
  return () => {
    clearTimeout(timer);
    signal.removeEventListener("abort", startTimer);
  };
}

function findLatestStartMs(
  context: ForwardingContext,
  { endMs, metadata, service }: StoppableRequest,
  options: AnswerTimeOptions = {},
): Millis {
  const stopTime = context.stop.time();
  if (stopTime === undefined) return Infinity;
  const profile = context.configuration()?.services.get(service)?.engine;
  // How long a call to a plain service takes is unknown, so that only its deadline bounds it.
  const expectedMs = profile === undefined ? Infinity : computeAnswerMs(metadata, profile, {
    firstByteMs: options.firstByteMs ??
      computeShortestFirstByteMs(metadata, profile, context.listServers(service).length),
  });
  const answerMs = options.addMargin?.(expectedMs) ?? expectedMs;
  const hostEndMs = context.clock.nowMs() + stopTime.remainingMs;
  return computeLatestStartMs({ endMs, answerMs }, hostEndMs);
}
