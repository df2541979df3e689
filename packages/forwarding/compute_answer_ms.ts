import type { Millis } from "@jaypass/kernel";
import { computePassMs, PASSES_TO_FIRST_BYTE } from "@jaypass/placement";
import type { EngineProfile } from "@jaypass/placement";
import { ANSWER_ESTIMATE_FACTOR } from "./constants.ts";
import type { CallerMetadata } from "./types.ts";

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
 * computeAnswerMs(metadata, profile); // about 5,400 for an answer of at most 3,264 tokens
 */
export function computeAnswerMs(
  metadata: Pick<CallerMetadata, "promptTokens" | "maxAnswerTokens" | "estimatedAnswerTokens">,
  profile: EngineProfile,
  options: { firstByteMs?: Millis } = {},
): Millis {
  const { promptTokens, maxAnswerTokens, estimatedAnswerTokens = Infinity } = metadata;
  const contextTokens = profile.slots * profile.usualPromptTokens + promptTokens;
  const passMs = computePassMs(profile.slots, contextTokens, profile);
  const firstByteMs = options.firstByteMs ?? PASSES_TO_FIRST_BYTE * passMs;
  const answerTokens = Math.min(maxAnswerTokens, ANSWER_ESTIMATE_FACTOR * estimatedAnswerTokens);
  return firstByteMs + Math.ceil(answerTokens / profile.stepsPerPass) * passMs;
}
