import { createClock, runAfterRead } from "@jaypass/kernel";
import type { Millis, RunAfterReadOptions } from "@jaypass/kernel";

/** Longest time after the end of a request's time for which its answer is read. */
const MAX_READ_MS = 100;

/** Options of {@linkcode startEndTimer}. */
export interface EndTimerOptions extends Pick<RunAfterReadOptions, "clock" | "afterPoll"> {
  /** Counts the parts of answers to the request that were read so far. */
  countReceived: () => number;
  /** Called at the end. */
  onEnd: () => void;
}

/**
 * Calls a function at the end of a request's time, unless it is cancelled.
 *
 * Timers run before sockets are read, so that after a stall of the process an answer may be there that
 * arrived in time. It is read first, which takes several turns of the event loop if it is large or
 * ends with its connection.
 *
 * @param timeoutMs milliseconds until the end; may be negative
 * @param options what was received, and the call
 * @returns cancels the call
 *
 * @example
 * const cancel = startEndTimer(remainingMs, { countReceived, onEnd: () => controller.abort() });
 */
export function startEndTimer(timeoutMs: Millis, options: EndTimerOptions): () => void {
  const { countReceived, onEnd, clock = createClock(), afterPoll } = options;
  let isCancelled = false;
  const look = (remainingMs: Millis) => {
    const receivedCount = countReceived();
    const beginMs = clock.nowMs();
    runAfterRead(() => {
      if (isCancelled) return;
      const nextMs = remainingMs - (clock.nowMs() - beginMs);
      if (countReceived() > receivedCount && nextMs > 0) look(nextMs);
      else onEnd();
    }, { clock, afterPoll, maxWaitMs: remainingMs });
  };
  const timer = setTimeout(() => look(MAX_READ_MS), timeoutMs);
  return () => {
    isCancelled = true;
    clearTimeout(timer);
  };
}
