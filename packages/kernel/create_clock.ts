import type { Clock } from "./types.ts";

/**
 * Creates the clock of the running process.
 *
 * @returns a clock with monotonic time and wall time, both in milliseconds
 *
 * @example
 * const clock = createClock();
 * const startMs = clock.nowMs();
 */
export function createClock(): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
  };
}
