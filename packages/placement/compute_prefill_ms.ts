import type { Millis } from "@jaypass/kernel";
import type { EngineProfile } from "./types.ts";

/** Pairs in a million, the unit of the profile's figure. */
const PAIRS_PER_UNIT = 1_000_000;

/**
 * Computes how long an idle engine reads a prompt.
 *
 * @param tokens tokens of the prompt
 * @param profile cost figures of the engine
 * @returns milliseconds: the time for the tokens plus the time for their pairs
 *
 * @example
 * computeReadMs(182_000, profile); // about 3,900
 */
export function computePrefillMs(tokens: number, profile: EngineProfile): Millis {
  const pairs = tokens * tokens / 2;
  return tokens / profile.readTokensPerMs + pairs / PAIRS_PER_UNIT * profile.pairMsPerMillion;
}
