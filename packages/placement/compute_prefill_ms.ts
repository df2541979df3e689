import type { Millis } from "@jaypass/kernel";
import type { EngineProfile } from "./types.ts";

/** Token pairs in the unit of `pairMsPerMillion`. */
const PAIRS_PER_UNIT = 1_000_000;

/**
 * Computes how long an idle engine takes to prefill a prompt.
 *
 * @param tokens tokens of the prompt
 * @param profile cost model of the engine
 * @returns milliseconds: a linear part for the tokens and a quadratic part for attention
 *
 * @example
 * computePrefillMs(182_000, profile); // about 3,900
 */
export function computePrefillMs(tokens: number, profile: EngineProfile): Millis {
  const pairs = tokens * tokens / 2;
  return tokens / profile.readTokensPerMs + pairs / PAIRS_PER_UNIT * profile.pairMsPerMillion;
}
