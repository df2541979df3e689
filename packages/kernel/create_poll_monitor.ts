import type { Clock, Millis } from "./types.ts";

/** A time for which the event loop did not poll, although it was due to. */
export interface EventLoopStall {
  /** Milliseconds between two polls, the usual interval included. */
  stallMs: Millis;
  /**
   * Milliseconds of processor time that the process used meanwhile. Far less than the stall shows that
   * the process was paused or got no processor time.
   */
  processorMs: Millis;
}

/** Tells since when signals and data that are handled now can have been waiting. */
export interface PollMonitor {
  /**
   * Earliest monotonic time at which a signal or data that is handled now can have been sent: the begin
   * of the last completed poll but one, or now if the last polls were on time.
   */
  earliestSentMs(): Millis;
  /**
   * Milliseconds since the last stall that was reported has ended; 0 while the event loop is overdue,
   * until all that has waited meanwhile is handled, and Infinity before the first stall.
   */
  steadyForMs(): Millis;
  /** Ends the monitor. */
  stop(): void;
}

/** Options of {@linkcode createPollMonitor}. */
export interface PollMonitorOptions {
  clock: Pick<Clock, "nowMs">;
  /** Milliseconds between two looks. A poll is late if it comes twice as long after the one before. */
  intervalMs: Millis;
  /** Stalls of this length and longer are reported. */
  minStallMs: Millis;
  onStall: (stall: EventLoopStall) => void;
  /** Processor time that the process has used so far; that of the running process by default. */
  processorMs?: () => Millis;
  /** Calls a function periodically, and returns the function that ends this; a timer by default. */
  repeat?: (run: () => void, intervalMs: Millis) => () => void;
  /** Calls a function after the next poll; `setImmediate` by default. */
  afterPoll?: (run: () => void) => void;
}

/**
 * Creates a monitor of the event loop, which handles signals and data only when it polls. A process
 * that is paused, gets no processor time or is busy handles them late, while the times of those who
 * have sent them go on.
 *
 * After a pause, a signal may be taken by another thread, which passes it to the event loop only after
 * the first poll, so that one poll does not show that all signals from before it are handled.
 *
 * @param options clock, times and callback
 * @returns the monitor
 *
 * @example
 * const monitor = createPollMonitor({ clock, intervalMs: 100, minStallMs: 250, onStall });
 * process.on("SIGTERM", () => stop.begin(monitor.earliestSentMs()));
 */
export function createPollMonitor(options: PollMonitorOptions): PollMonitor {
  const { clock, intervalMs, minStallMs, onStall } = options;
  const { processorMs = readProcessorMs, repeat = repeatOnTimer, afterPoll = setImmediate } =
    options;
  let polledAtMs = clock.nowMs();
  let polledBeforeMs = polledAtMs;
  let stalledUntilMs = -Infinity;
  let usedMs = processorMs();
  const endRepeat = repeat(() => {
    const startMs = clock.nowMs();
    afterPoll(() => {
      const stallMs = startMs - polledAtMs;
      const nextUsedMs = processorMs();
      polledBeforeMs = polledAtMs;
      polledAtMs = startMs;
      if (stallMs >= minStallMs) {
        stalledUntilMs = clock.nowMs();
        onStall({ stallMs, processorMs: nextUsedMs - usedMs });
      }
      usedMs = nextUsedMs;
    });
  }, intervalMs);
  return {
    earliestSentMs() {
      const nowMs = clock.nowMs();
      const isOnTime = Math.max(nowMs - polledAtMs, polledAtMs - polledBeforeMs) < 2 * intervalMs;
      return isOnTime ? nowMs : polledBeforeMs;
    },
    steadyForMs: () =>
      clock.nowMs() - polledAtMs >= minStallMs ? 0 : clock.nowMs() - stalledUntilMs,
    stop: endRepeat,
  };
}

function readProcessorMs(): Millis {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

function repeatOnTimer(run: () => void, intervalMs: Millis): () => void {
  const timer = setInterval(run, intervalMs);
  timer.unref();
  return () => clearInterval(timer);
}
