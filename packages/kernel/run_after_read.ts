import { createClock } from "./create_clock.ts";
import type { Clock, Millis } from "./types.ts";

/** Longest turn of the event loop after which what had arrived at its end counts as read, by default. */
const DEFAULT_MAX_TURN_MS = 5;

/** Turns after which the function is called even if all of them were longer. */
const MAX_TURNS = 20;

/** Options of {@linkcode runAfterRead}. */
export interface RunAfterReadOptions {
  /** Time after which the function is called after the next look at the sockets; no limit by default. */
  maxWaitMs?: Millis;
  /** Longest turn of the event loop after which what has arrived counts as read; 5 ms by default. */
  maxTurnMs?: Millis;
  /** Monotonic time source; that of the process by default. */
  clock?: Pick<Clock, "nowMs">;
  /** Calls a function after the next look at the sockets; `setImmediate` by default. */
  afterPoll?: (run: () => void) => void;
}

/**
 * Calls a function once all data has been read that had reached the process's sockets.
 *
 * Timers run before sockets are read, and a callback that blocks the event loop leaves unread what
 * arrives meanwhile. Therefore the sockets must have been read in a short turn of the event loop.
 *
 * @param run the function
 * @param options clock and event loop
 *
 * @example
 * setTimeout(() => runAfterRead(() => {
 *   if (!hasArrived) socket.destroy();
 * }), timeoutMs);
 */
export function runAfterRead(run: () => void, options: RunAfterReadOptions = {}): void {
  const { clock = createClock(), afterPoll = setImmediate } = options;
  const { maxWaitMs = Infinity, maxTurnMs = DEFAULT_MAX_TURN_MS } = options;
  const beginMs = clock.nowMs();
  let turnCount = 0;
  const startTurn = () => {
    const startMs = clock.nowMs();
    turnCount += 1;
    afterPoll(() => {
      const nowMs = clock.nowMs();
      const isRead = nowMs - startMs <= maxTurnMs;
      if (isRead || turnCount === MAX_TURNS || nowMs - beginMs >= maxWaitMs) run();
      else startTurn();
    });
  };
  startTurn();
}
