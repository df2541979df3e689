import type { Millis } from "@jaypass/kernel";
import { LATE_ANSWER_FACTOR, LATE_IN_STOP_MS, STOP_SILENCE_MARGIN_MS } from "./constants.ts";

/**
 * Computes the time that a stopping host must have left for an answer from its first byte on.
 *
 * Callers that have other hosts lose only a retry by a refusal, and the rest of the answer if the host
 * ends before it; without other hosts, they lose the answer by a refusal as well.
 *
 * @param answerMs expected milliseconds of the answer
 * @param stop elapsedMs: milliseconds from the signal to the arrival of the request; hasOtherHosts:
 * whether enough other hosts accept callers
 * @returns milliseconds
 *
 * @example
 * computeStopAnswerMs(1_000, { elapsedMs: 500, hasOtherHosts: true }); // 3,000
 */
export function computeStopAnswerMs(
  answerMs: Millis,
  { elapsedMs, hasOtherHosts }: { elapsedMs: Millis; hasOtherHosts: boolean },
): Millis {
  const isLate = elapsedMs > LATE_IN_STOP_MS;
  const slowMs = isLate ? answerMs * LATE_ANSWER_FACTOR : answerMs;
  const silentMs = isLate || hasOtherHosts ? answerMs + STOP_SILENCE_MARGIN_MS : answerMs;
  return Math.max(slowMs, silentMs);
}
