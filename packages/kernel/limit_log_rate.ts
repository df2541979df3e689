import type { Clock, Logger } from "./types.ts";

const SECOND_MS = 1_000;

/**
 * Marks a log line, as a field with the value `true`, that has a limit of its own, so that it is not
 * dropped among lines of requests: start, stop, reload, dependencies and closed connections. The mark
 * is not written, since loggers write fields with text names only.
 *
 * @example
 * log.info({ connections, [ESSENTIAL]: true }, "Host stopped");
 */
export const ESSENTIAL: unique symbol = Symbol("essential");

/** Options of {@linkcode limitLogRate}. */
export interface LogRateOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Lines per second above which lines below warning level are dropped. */
  linesPerS: number;
  /** The same limit for lines with the mark {@linkcode ESSENTIAL}. */
  essentialLinesPerS: number;
}

/**
 * Limits the rate of log lines below warning level. Essential lines and all others are counted
 * separately. Dropped lines are counted, and their number is logged before the first such line of a
 * later second.
 *
 * @param log the logger to limit
 * @param options clock and limits
 * @returns a logger that writes to `log`, except for dropped lines
 *
 * @example
 * const limited = limitLogRate(log, { clock, linesPerS: 100, essentialLinesPerS: 300 });
 */
export function limitLogRate(log: Logger, options: LogRateOptions): Logger {
  const { clock, linesPerS, essentialLinesPerS } = options;
  let second = 0;
  let lines = 0;
  let essentialLines = 0;
  let dropped = 0;
  const isWithin = (fields: object) => {
    const present = Math.floor(clock.nowMs() / SECOND_MS);
    if (present !== second) {
      second = present;
      lines = 0;
      essentialLines = 0;
      if (dropped > 0) log.warn({ dropped }, "Log lines dropped");
      dropped = 0;
    }
    const isEssential = ESSENTIAL in fields;
    if (isEssential ? ++essentialLines <= essentialLinesPerS : ++lines <= linesPerS) return true;
    dropped += 1;
    return false;
  };
  const bound = (target: Logger): Logger => ({
    debug: (fields, message) => {
      if (isWithin(fields)) target.debug(fields, message);
    },
    info: (fields, message) => {
      if (isWithin(fields)) target.info(fields, message);
    },
    warn: (fields, message) => target.warn(fields, message),
    error: (fields, message) => target.error(fields, message),
    child: (fields) => bound(target.child(fields)),
  });
  return bound(log);
}
