import type { Millis } from "@jaypass/kernel";
import {
  LATE_IN_STOP_MS,
  SILENCE_TOLERANCE_MS,
  STALL_TIMEOUT_FACTOR,
  STOP_SILENCE_TOLERANCE_MS,
} from "./constants.ts";
import { isSecondServerInTime } from "./is_second_server_in_time.ts";

/**
 * Computes the silence after which another server is searched for a stream that has begun.
 *
 * Late in a stop the time is shorter, since the answer has to end before its host, provided that another
 * server can go on in time ({@linkcode isSecondServerInTime}).
 *
 * @param pauseGoalMs target of the route for the longest pause in milliseconds; 0 if it has none
 * @param situation elapsedMs: milliseconds since the signal, undefined without a stop; firstByteMs:
 * expected milliseconds until the first byte of a server
 * @returns milliseconds; 0 if no other server is searched
 *
 * @example
 * computeStallTimeoutMs(250, { elapsedMs: undefined, firstByteMs: 300 }); // 1,400
 */
export function computeStallTimeoutMs(
  pauseGoalMs: Millis,
  { elapsedMs, firstByteMs }: { elapsedMs: Millis | undefined; firstByteMs: Millis },
): Millis {
  if (pauseGoalMs === 0) return 0;
  const usualMs = Math.max(SILENCE_TOLERANCE_MS, STALL_TIMEOUT_FACTOR * pauseGoalMs);
  const isLate = elapsedMs !== undefined && elapsedMs > LATE_IN_STOP_MS;
  return isLate && isSecondServerInTime(firstByteMs)
    ? Math.min(usualMs, STOP_SILENCE_TOLERANCE_MS)
    : usualMs;
}
