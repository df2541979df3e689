import { sleep } from "./sleep.ts";
import type { Clock, Millis } from "./types.ts";

/**
 * Waits until the next multiple of an interval on the monotonic clock, or until a signal aborts.
 *
 * Periodic tasks of one process that wait this way wake it together, if their intervals are multiples
 * of each other. Each wake-up costs processor time, also when nothing is to be done.
 *
 * @param intervalMs milliseconds between two ticks
 * @param options clock and signal
 * @returns a promise that resolves at the tick
 * @throws {AbortedError} when the signal aborts first
 *
 * @example
 * await sleepUntilTick(300, { clock, signal });
 */
export function sleepUntilTick(
  intervalMs: Millis,
  { clock, signal }: { clock: Clock; signal?: AbortSignal },
): Promise<void> {
  return sleep(intervalMs - clock.nowMs() % intervalMs, signal);
}
