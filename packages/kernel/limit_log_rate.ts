import type { Clock, Logger } from "./types.ts";

const SECOND_MS = 1_000;

/** Options of {@linkcode limitLogRate}. */
export interface LogRateOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Lines per second above which lines below warning level are dropped. */
  linesPerS: number;
}

/**
 * Limits the rate of log lines below warning level. Dropped lines are counted, and their number is
 * logged before the first such line of a later second.
 *
 * @param log the logger to limit
 * @param options clock and limit
 * @returns a logger that writes to `log`, except for dropped lines
 *
 * @example
 * const limited = limitLogRate(log, { clock, linesPerS: 100 });
 */
export function limitLogRate(log: Logger, options: LogRateOptions): Logger {
  const { clock, linesPerS } = options;
  let second = 0;
  let lines = 0;
  let dropped = 0;
  const isWithin = () => {
    const present = Math.floor(clock.nowMs() / SECOND_MS);
    if (present !== second) {
      second = present;
      lines = 0;
      if (dropped > 0) log.warn({ dropped }, "Log lines dropped");
      dropped = 0;
    }
    lines += 1;
    if (lines <= linesPerS) return true;
    dropped += 1;
    return false;
  };
  const bound = (target: Logger): Logger => ({
    debug: (fields, message) => {
      if (isWithin()) target.debug(fields, message);
    },
    info: (fields, message) => {
      if (isWithin()) target.info(fields, message);
    },
    warn: (fields, message) => target.warn(fields, message),
    error: (fields, message) => target.error(fields, message),
    child: (fields) => bound(target.child(fields)),
  });
  return bound(log);
}
