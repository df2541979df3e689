import type { Millis } from "@jaypass/kernel";
import {
  MAX_UNREACHABLE_CHECKS,
  REFUSING_TOLERANCE_MS,
  SERVER_CHECK_PERIOD_MS,
  SILENCE_POLL_MS,
  SILENCE_SLACK_MS,
  SILENCE_TOLERANCE_MS,
  UNREACHABLE_TOLERANCE_MS,
} from "../constants.ts";
import { SERVER_STATUS } from "../types.ts";
import type { ServerStatus } from "../types.ts";
import type { ForwardingContext, ForwardingServer } from "./request_context.ts";

/** Watch of one exchange with a server. */
export interface SilenceWatch {
  /** Must be called when data from the server arrives. */
  recordData(): void;
  /** True if the server was given up because its process has ended. */
  isLost(): boolean;
  /** Ends the watch. */
  stop(): void;
}

/** Options of {@linkcode createSilenceWatch}. */
export interface SilenceWatchOptions {
  /** Id of the request, for the log. */
  requestId: string;
  /** The server that got the request. */
  server: ForwardingServer;
  /**
   * Expected time to the first data, for which no silence counts. 0 if memory is reserved for the request,
   * which must be free soon after the end of the server's process.
   */
  expectedMs: Millis;
  /** Expected longest time between two pieces of data. */
  pauseMs: Millis;
  /** Called when the process of the server has ended. */
  onLost: () => void;
  /** Called after each check that finds the server out of reach for longer than is tolerated. */
  onUnreachable: () => void;
}

/**
 * Watches a server that has got a request and sends nothing.
 *
 * Meant for engines that disappear without closing their connections, because their process, host,
 * data centre or network is gone. A silent engine may also be reading a long prompt, and an engine
 * that has left the directory may still be answering, so neither is a reason to give up. The server
 * is checked once it has been silent for longer than expected, or at once when its entry is gone or
 * names another start. A check that finds no process does not show that the exchange has ended, since
 * a server that leaves may close its listener, and its address may be used again, while it ends its
 * answers. Therefore the server is given up only if it has also been silent for longer than a sound
 * server may be. One that refuses connections is given up much later, counted from the last sign of its
 * process: data, or a check that found it; but not while it is expected to read the prompt. One that is
 * only out of reach may go on with its answer, and is reported so that another one can be tried.
 *
 * @param context services of the host
 * @param options the server and its expected times
 * @returns the watch, which has started
 */
export function createSilenceWatch(
  context: ForwardingContext,
  options: SilenceWatchOptions,
): SilenceWatch {
  const { clock, log, metrics } = context;
  const { server, requestId } = options;
  let silentSinceMs = clock.nowMs();
  let allowedMs = options.expectedMs + SILENCE_SLACK_MS;
  /** Latest time at which the server's process is known to have run, or may send nothing. */
  let soundUntilMs = silentSinceMs + options.expectedMs;
  let nextCheckMs = -Infinity;
  let unreachableCount = 0;
  let isLost = false;
  let isStopped = false;

  const shouldCheck = (nowMs: Millis) => {
    if (nowMs < nextCheckMs) return false;
    const isEntryCurrent = context.findServer(server.id)?.bornMs === server.bornMs;
    return !isEntryCurrent || nowMs - silentSinceMs > allowedMs;
  };

  const giveUp = (reason: ServerStatus) => {
    isLost = true;
    clearInterval(timer);
    log.warn(
      {
        requestId,
        server: server.id,
        reason,
        silentMs: Math.round(clock.nowMs() - silentSinceMs),
        allowedMs: Math.round(allowedMs),
      },
      "Giving up a silent server",
    );
    options.onLost();
  };

  /** Gives the server up from a time on, and looks again at that time. */
  const giveUpFrom = (lostFromMs: Millis, reason: ServerStatus) => {
    if (clock.nowMs() > lostFromMs) giveUp(reason);
    else nextCheckMs = Math.min(nextCheckMs, lostFromMs);
  };

  const handleRefusal = () => {
    const searchFromMs = silentSinceMs + SILENCE_TOLERANCE_MS;
    if (clock.nowMs() <= searchFromMs) nextCheckMs = Math.min(nextCheckMs, searchFromMs);
    else {
      giveUpFrom(soundUntilMs + REFUSING_TOLERANCE_MS, SERVER_STATUS.REFUSING);
      if (!isLost) options.onUnreachable();
    }
  };

  /** Checks that share a result may follow each other closely, so that their number is not enough. */
  const isUnreachableForLong = () =>
    unreachableCount >= MAX_UNREACHABLE_CHECKS &&
    clock.nowMs() - silentSinceMs > UNREACHABLE_TOLERANCE_MS;

  const check = async () => {
    const startMs = clock.nowMs();
    if (!shouldCheck(startMs)) return;
    nextCheckMs = startMs + SERVER_CHECK_PERIOD_MS;
    const { status, askedMs } = await context.checkServer(server);
    metrics.increment("server_check", { status });
    // Data that arrived during the check shows that the exchange goes on.
    if (isStopped || isLost || silentSinceMs > startMs) return;
    unreachableCount = status === SERVER_STATUS.UNREACHABLE ? unreachableCount + 1 : 0;
    if (status === SERVER_STATUS.ALIVE) soundUntilMs = Math.max(soundUntilMs, askedMs);
    if (status === SERVER_STATUS.LOST) giveUpFrom(silentSinceMs + SILENCE_TOLERANCE_MS, status);
    else if (status === SERVER_STATUS.REFUSING) handleRefusal();
    else if (isUnreachableForLong()) options.onUnreachable();
  };

  const timer = setInterval(() => void check(), SILENCE_POLL_MS);
  return {
    recordData() {
      silentSinceMs = clock.nowMs();
      soundUntilMs = silentSinceMs;
      allowedMs = options.pauseMs + SILENCE_SLACK_MS;
      unreachableCount = 0;
    },
    isLost: () => isLost,
    stop() {
      isStopped = true;
      clearInterval(timer);
    },
  };
}
