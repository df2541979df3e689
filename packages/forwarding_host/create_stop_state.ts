import type { Clock, Millis } from "@jaypass/kernel";
import type { HostStop } from "@jaypass/forwarding";
import {
  EXIT_LINGER_MS,
  LAST_MARGIN_SHARE,
  LEAVE_SPREAD_MS,
  MIN_STALL_MS,
  RECENT_HOSTS_WINDOW_MS,
  STALL_WINDOW_MS,
  STOP_MARGIN_MAX_SHARE,
  STOP_MARGIN_MS,
  USUAL_HOSTS_WINDOW_MS,
} from "./constants.ts";
import { createPeakWindow } from "./create_peak_window.ts";
import { decideStopStep, STOP_STEP } from "./decide_stop_step.ts";
import type { StoppingHost, StopStep } from "./decide_stop_step.ts";
import { isStoppingHostNeeded } from "./is_stopping_host_needed.ts";
import { isStoppingHostReplaceable } from "./is_stopping_host_replaceable.ts";

/** Monotonic times between which a signal was sent. */
export interface SignalTime {
  earliestMs: Millis;
  latestMs: Millis;
}

/** Phase of a host's graceful stop. */
export interface StopState extends HostStop {
  /** Starts the graceful stop; the signal was sent now by default. */
  begin(sent?: SignalTime): void;
  /** Records that the settings have been read after the signal; until then they may be old. */
  recordSettingsRead(): void;
  /** Starts the exit: no request is taken any more, and those in progress are answered. */
  beginExit(): void;
  /** Records that the host leaves the directory now. */
  leave(): void;
  /** Records the number of other hosts that accept callers now. */
  observeHosts(count: number): void;
  /** Records a time for which the process did not run or was busy, in milliseconds. */
  observeStall(stallMs: Millis): void;
  /** Decides what the host does next, given the number of requests in progress. */
  nextStep(requests: number): StopStep;
  /**
   * Time in which the exit must be complete, before the forced end of the process. An exit that begins
   * late has half of the time that is left.
   */
  exitRemainingMs(): Millis;
  /**
   * Time for which connections that wait may be accepted in the exit: until shortly before the forced
   * end, since to close the listener over them resets them as well.
   */
  acceptRemainingMs(): Millis;
  /**
   * Time for which answers that have begun may go on after the exit. The platform may have sent the
   * signal as late as possible and use the longest grace period. A caller of HTTP/1.1 recognizes an
   * answer that the forced end cuts off.
   */
  answersRemainingMs(): Millis;
}

/**
 * Creates the state of a host's graceful stop.
 *
 * A stopping host is not ready and closes connections after requests. When it leaves the directory
 * and exits depends on how many other hosts accept callers; see {@linkcode decideStopStep}.
 *
 * A process that has stalled of late may do so again at its exit, so that it exits sooner by as much.
 *
 * The settings may change before a stop and during one. Of the times that are in force from the signal
 * on, the shortest counts, since it is not known which of them the platform uses. Answers that have
 * begun may go on for the longest.
 *
 * @param options clock; `graceMs` returns the time between the signal and the forced end of the process
 * that is in force now; the turn of the host among hosts that stop at the same moment, from 0 to 1
 * @returns the state
 *
 * @example
 * const stop = createStopState({ clock, graceMs: () => settings.stopGraceMs });
 */
export function createStopState(
  options: { clock: Clock; graceMs: () => Millis; turn?: number },
): StopState {
  const { clock, graceMs, turn = 0 } = options;
  const controller = new AbortController();
  const exitController = new AbortController();
  let shortestGraceMs = Infinity;
  let longestGraceMs = 0;
  const forgetGraces = () => {
    shortestGraceMs = Infinity;
    longestGraceMs = 0;
  };
  const readGraceMs = () => {
    shortestGraceMs = Math.min(shortestGraceMs, graceMs());
    longestGraceMs = Math.max(longestGraceMs, graceMs());
    return shortestGraceMs;
  };
  const stallPeak = createPeakWindow({ clock, lengthMs: STALL_WINDOW_MS });
  const readMarginMs = () =>
    Math.min(STOP_MARGIN_MS + stallPeak.peak(), readGraceMs() * STOP_MARGIN_MAX_SHARE);
  const readLongestStopMs = () => readGraceMs() - readMarginMs();
  const usualPeak = createPeakWindow({ clock, lengthMs: USUAL_HOSTS_WINDOW_MS });
  const recentPeak = createPeakWindow({ clock, lengthMs: RECENT_HOSTS_WINDOW_MS });
  let startMs: Millis | undefined;
  let latestStartMs = 0;
  let leaveMs: Millis | undefined;
  let exitEndMs: Millis | undefined;
  let readyHosts = 0;
  let usualHosts = 0;
  const elapsedMs = () => startMs === undefined ? 0 : clock.nowMs() - startMs;
  const remainingMs = () => readLongestStopMs() - elapsedMs();
  const exitRemainingMs = () => Math.max(0, remainingMs() + readMarginMs() / 2);
  const describe = (requests: number): StoppingHost => ({
    turnInMs: turn * LEAVE_SPREAD_MS - elapsedMs(),
    leftAgoMs: leaveMs === undefined ? undefined : clock.nowMs() - leaveMs,
    remainingMs: remainingMs(),
    requests,
    readyHosts,
    recentHosts: Math.max(readyHosts, recentPeak.peak()),
    usualHosts,
  });
  return {
    signal: controller.signal,
    exit: exitController.signal,
    begin(sent = { earliestMs: clock.nowMs(), latestMs: clock.nowMs() }) {
      if (startMs !== undefined) return;
      startMs = sent.earliestMs;
      latestStartMs = sent.latestMs;
      forgetGraces();
      usualHosts = usualPeak.peak();
      controller.abort();
    },
    recordSettingsRead() {
      // If the signal may have waited, the settings may have changed after it.
      if (latestStartMs - (startMs ?? 0) < MIN_STALL_MS) forgetGraces();
    },
    beginExit() {
      const untilForcedEndMs = remainingMs() + readMarginMs();
      exitEndMs = clock.nowMs() + Math.max(exitRemainingMs(), untilForcedEndMs / 2);
      exitController.abort();
    },
    leave: () => void (leaveMs ??= clock.nowMs()),
    observeHosts(count) {
      readyHosts = count;
      usualPeak.add(count);
      recentPeak.add(count);
    },
    observeStall: (stallMs) => stallPeak.add(stallMs),
    time: () =>
      startMs === undefined ? undefined : { elapsedMs: elapsedMs(), remainingMs: remainingMs() },
    lingerMs: () => Math.min(EXIT_LINGER_MS, readMarginMs() / 2),
    isNeeded: (requests) => isStoppingHostNeeded(describe(requests)),
    hasOtherHosts: () => isStoppingHostReplaceable({ readyHosts, usualHosts }),
    nextStep: (requests) =>
      startMs === undefined ? STOP_STEP.STAY : decideStopStep(describe(requests)),
    exitRemainingMs: () =>
      exitEndMs === undefined ? exitRemainingMs() : Math.max(0, exitEndMs - clock.nowMs()),
    acceptRemainingMs: () => Math.max(0, remainingMs() + readMarginMs() * (1 - LAST_MARGIN_SHARE)),
    answersRemainingMs() {
      readGraceMs();
      const marginMs = Math.min(STOP_MARGIN_MS, longestGraceMs * STOP_MARGIN_MAX_SHARE);
      return Math.max(0, latestStartMs + longestGraceMs - marginMs - clock.nowMs());
    },
  };
}
