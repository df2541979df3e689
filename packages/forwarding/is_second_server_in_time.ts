import type { Millis } from "@jaypass/kernel";
import { LONGEST_SILENCE_MS, SEARCH_OVERHEAD_MS, STOP_SILENCE_TOLERANCE_MS } from "./constants.ts";

/**
 * Reports whether a second server that is searched late in a stop can go on with a stream before the
 * longest silence of the first one ends. A long prompt, which is read again, takes longer.
 *
 * @param firstByteMs expected milliseconds until the first byte of a server
 * @returns true if it can
 *
 * @example
 * isSecondServerInTime(300); // true
 */
export function isSecondServerInTime(firstByteMs: Millis): boolean {
  return STOP_SILENCE_TOLERANCE_MS + SEARCH_OVERHEAD_MS + firstByteMs < LONGEST_SILENCE_MS;
}
