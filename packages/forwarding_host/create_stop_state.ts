import type { StopTime } from "@jaypass/forwarding";
import type { Clock, Millis } from "@jaypass/kernel";
import {
  DIRECTORY_TTL_FACTOR,
  DIRECTORY_TTL_MS,
  REFUSE_AFTER_SHARE,
  STOP_MARGIN_MS,
} from "./constants.ts";

/** Phase of a host's graceful stop. */
export interface StopState {
  /** Starts the graceful stop. */
  begin(): void;
  /**
   * True from the start of the stop: the host is not ready and closes connections after requests.
   */
  isStopping(): boolean;
  /** True once new requests are refused. */
  isRefusing(): boolean;
  /** Reports whether the process should exit, given the number of requests in progress. */
  isDone(requests: number): boolean;
  /** Progress of the stop; undefined before its start. */
  time(): StopTime | undefined;
}

/**
 * Creates the state of a host's graceful stop.
 *
 * A stopping host continues to serve until callers have a newer answer of the directory. Late in
 * the grace period it refuses new requests, which callers then send to another host, so that the
 * running ones can end.
 *
 * @param options clock, and the time between the signal and the forced end of the process
 * @returns the state
 *
 * @example
 * const stop = createStopState({ clock, graceMs: 8_000 });
 */
export function createStopState(options: { clock: Clock; graceMs: Millis }): StopState {
  const { clock, graceMs } = options;
  let startMs: Millis | undefined;
  const elapsedMs = () => startMs === undefined ? 0 : clock.nowMs() - startMs;
  const directoryExpiryMs = Math.min(
    DIRECTORY_TTL_MS * DIRECTORY_TTL_FACTOR,
    graceMs - STOP_MARGIN_MS,
  );
  return {
    begin() {
      startMs ??= clock.nowMs();
    },
    isStopping: () => startMs !== undefined,
    isRefusing: () => startMs !== undefined && elapsedMs() >= graceMs * REFUSE_AFTER_SHARE,
    isDone: (requests) =>
      startMs !== undefined &&
      (elapsedMs() >= graceMs - STOP_MARGIN_MS ||
        (requests === 0 && elapsedMs() >= directoryExpiryMs)),
    time: () =>
      startMs === undefined ? undefined : {
        elapsedMs: elapsedMs(),
        remainingMs: graceMs - STOP_MARGIN_MS - elapsedMs(),
      },
  };
}
