import type { Clock, Millis } from "@jaypass/kernel";

/**
 * Creates a time limit that follows the configuration, and is lowered only after the longer time has
 * passed: what began under the earlier limit may take as long as that allowed.
 *
 * @param clock monotonic time source
 * @returns a function that takes the limit of the configuration and returns the one in force, both in
 * milliseconds
 */
export function createGradualLimit(clock: Pick<Clock, "nowMs">): (limitMs: Millis) => Millis {
  let lastMs: Millis = 0;
  let inForceMs: Millis = 0;
  let lowerAtMs: Millis = 0;
  return (limitMs) => {
    const nowMs = clock.nowMs();
    if (limitMs !== lastMs) lowerAtMs = nowMs + inForceMs;
    lastMs = limitMs;
    if (limitMs > inForceMs || nowMs >= lowerAtMs) inForceMs = limitMs;
    return inForceMs;
  };
}
