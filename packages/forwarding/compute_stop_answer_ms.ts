import type { Millis } from "@jaypass/kernel";
import {
  LATE_ANSWER_FACTOR,
  LATE_IN_STOP_MS,
  LONGEST_SILENCE_MS,
  STOP_SILENCE_MARGIN_MS,
} from "./constants.ts";

/** What a stopping host knows of a request and of the other hosts. */
export interface StopSituation {
  /** Milliseconds from the signal to the arrival of the request. */
  elapsedMs: Millis;
  /** True if enough other hosts accept callers. */
  hasOtherHosts: boolean;
  /** True if a second server may go on with the answer before the end of a silence. */
  hasSecondServer: boolean;
}

/**
 * Computes the time that a stopping host must have left for an answer from its first byte on.
 *
 * Callers that have other hosts lose only a retry by a refusal, and the rest of the answer if the host
 * ends before it; without other hosts, they lose the answer by a refusal as well.
 *
 * Late in a stop, an answer has time for a slow server and for its silences, which come on top of each
 * other: for all with other hosts, and without them for any two of them. A second server makes up for
 * one of two silences.
 *
 * @param answerMs expected milliseconds of the answer
 * @param situation the request, the other hosts and its servers
 * @returns milliseconds
 *
 * @example
 * const situation = { elapsedMs: 500, hasOtherHosts: true, hasSecondServer: false };
 * computeStopAnswerMs(1_000, situation); // 3,000
 */
export function computeStopAnswerMs(
  answerMs: Millis,
  { elapsedMs, hasOtherHosts, hasSecondServer }: StopSituation,
): Millis {
  if (elapsedMs <= LATE_IN_STOP_MS) {
    return hasOtherHosts ? answerMs + STOP_SILENCE_MARGIN_MS : answerMs;
  }
  const slowMs = answerMs * LATE_ANSWER_FACTOR;
  if (hasOtherHosts) return slowMs + 2 * STOP_SILENCE_MARGIN_MS;
  const silentOnceMs = slowMs + STOP_SILENCE_MARGIN_MS;
  const silentTwiceMs = answerMs + 2 * LONGEST_SILENCE_MS;
  return hasSecondServer ? silentOnceMs : Math.max(silentOnceMs, silentTwiceMs);
}
