import type { Millis } from "../types.ts";

/** What is known of a caller's connection when its idle timeout has passed and it was read. */
export interface IdleConnection {
  /** Requests in progress on it. */
  requestCount: number;
  /** Bytes read from it since the timeout passed. */
  newBytes: number;
  /** Time since the last answer on it. */
  idleMs: Millis;
  /** Idle time that the last answer has announced. */
  announcedMs: Millis;
  /** Idle time that the configuration allows now. */
  limitMs: Millis;
}

/**
 * Time beyond the idle timeout for which a connection stays open, so that a request that is sent
 * within the timeout does not cross the close.
 */
export const IDLE_SLACK_MS = 1_000;

/**
 * Computes how long an idle connection must still stay open. A caller may rely on the time that the
 * last answer has announced and, if it is longer, on that of the configuration.
 *
 * @param connection state of the connection
 * @returns milliseconds, 0 if it is to be closed; undefined if it is not idle
 */
export function computeIdleRemainingMs(connection: IdleConnection): Millis | undefined {
  const { requestCount, newBytes, idleMs, announcedMs, limitMs } = connection;
  if (requestCount > 0 || newBytes > 0) return undefined;
  return Math.max(0, Math.max(announcedMs, limitMs) + IDLE_SLACK_MS - idleMs);
}
