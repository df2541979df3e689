import { MEDIUM_MAX_TOKENS, SHORT_MAX_TOKENS } from "./constants.ts";
import { LANE } from "./types.ts";
import type { Lane } from "./types.ts";

/**
 * Assigns a request to a lane by its expected prefill work.
 *
 * @param uncachedTokens prompt tokens that are in no engine's prefix cache
 * @returns the lane
 *
 * @example
 * classifyLane(120_000); // "long"
 */
export function classifyLane(uncachedTokens: number): Lane {
  if (uncachedTokens <= SHORT_MAX_TOKENS) return LANE.SHORT;
  return uncachedTokens <= MEDIUM_MAX_TOKENS ? LANE.MEDIUM : LANE.LONG;
}
