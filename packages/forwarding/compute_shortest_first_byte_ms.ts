import type { Millis } from "@jaypass/kernel";
import {
  computePassMs,
  computePrefillMs,
  MAX_HELPERS,
  PASSES_TO_FIRST_BYTE,
} from "@jaypass/placement";
import type { EngineProfile } from "@jaypass/placement";

/**
 * Computes the time to the first byte of a prompt whose read is shared by as many engines as possible,
 * all of them idle but for the passes of the one that answers.
 *
 * @param prompt number of tokens
 * @param profile cost model of the engines
 * @param engineCount number of engines of the service
 * @returns milliseconds, of which a prompt that is not placed yet needs at least as many
 *
 * @example
 * computeShortestFirstByteMs({ promptTokens: 200_000 }, profile, 4); // 1,070 at 50 tokens a millisecond
 */
export function computeShortestFirstByteMs(
  { promptTokens }: { promptTokens: number },
  profile: EngineProfile,
  engineCount: number,
): Millis {
  const contextTokens = profile.slots * profile.usualPromptTokens + promptTokens;
  const passMs = computePassMs(profile.slots, contextTokens, profile);
  const readers = Math.min(Math.max(1, engineCount), MAX_HELPERS + 1);
  return computePrefillMs(promptTokens, profile) / readers + PASSES_TO_FIRST_BYTE * passMs;
}
