import type { Millis } from "@jaypass/kernel";
import { HARMLESS_AFTER_MS, HARMLESS_RUN_FACTOR } from "./constants.ts";

/**
 * Decides whether a run shows that its content is not the cause of a crash.
 *
 * Content that crashes servers does so at about the same moment of each answer. A run must have gone on
 * clearly beyond the moment at which the other one ended with its server.
 *
 * @param ranMs time from the first byte, during which the server did not crash; Infinity for a whole
 * answer
 * @param crashedAfterMs time from the first byte to the crash; 0 for one before it
 * @returns true if the run speaks against the content as the cause
 *
 * @example
 * isHarmlessRun(800, 700); // false
 */
export function isHarmlessRun(ranMs: Millis, crashedAfterMs: Millis): boolean {
  return ranMs >= Math.max(HARMLESS_AFTER_MS, HARMLESS_RUN_FACTOR * crashedAfterMs);
}
