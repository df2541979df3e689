import type { Millis } from "@jaypass/kernel";
import { computePassMs, PASSES_TO_FIRST_BYTE } from "@jaypass/placement";
import type { EngineProfile } from "@jaypass/placement";
import { ANSWER_ESTIMATE_FACTOR } from "./constants.ts";
import type { CallerMetadata } from "./types.ts";

/** Length of an answer, as its caller states it. */
type AnswerLength = Pick<CallerMetadata, "maxAnswerTokens" | "estimatedAnswerTokens">;

/**
 * Computes the time that a full engine needs for the longest answer that is likely.
 *
 * Callers state the maximum length of the answer, and an estimate that is often too low. The time to
 * read the prompt is known only once the prompt is placed, since several engines may share the read.
 *
 * @param metadata length of the prompt and of the answer
 * @param profile cost model of the engine
 * @param options firstByteMs: expected milliseconds to the first byte, once the prompt is placed
 * @returns milliseconds from the sending of the request to the end of the answer
 *
 * @example
 * computeAnswerMs(metadata, profile); // 3,060 for 1,000 tokens, at 30 ms for each 10 of them
 */
export function computeAnswerMs(
  metadata: AnswerLength & Pick<CallerMetadata, "promptTokens">,
  profile: EngineProfile,
  options: { firstByteMs?: Millis } = {},
): Millis {
  const contextTokens = profile.slots * profile.usualPromptTokens + metadata.promptTokens;
  const passMs = computePassMs(profile.slots, contextTokens, profile);
  const firstByteMs = options.firstByteMs ?? PASSES_TO_FIRST_BYTE * passMs;
  const passes = Math.ceil(likelyAnswerTokens(metadata, profile) / profile.stepsPerPass);
  return firstByteMs + passes * passMs;
}

/** Length that an answer rarely exceeds; 0 in the metadata stands for a length that is not stated. */
function likelyAnswerTokens(
  { maxAnswerTokens, estimatedAnswerTokens }: AnswerLength,
  profile: EngineProfile,
): number {
  const usualTokens = maxAnswerTokens > 0 ? Infinity : profile.usualAnswerTokens;
  const estimate = estimatedAnswerTokens || usualTokens;
  return Math.min(maxAnswerTokens || Infinity, ANSWER_ESTIMATE_FACTOR * estimate);
}
