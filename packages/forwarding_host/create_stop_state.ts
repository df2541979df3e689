import type { Clock, Millis } from "@jaypass/kernel";
import {
  DIRECTORY_TTL_FACTOR,
  DIRECTORY_TTL_MS,
  REFUSE_AFTER_SHARE,
  STOP_MARGIN_MS,
} from "./constants.ts";

/** How far a host has come in stopping. */
export interface StopState {
  /** Starts the stop. */
  begin(): void;
  /** True once the host stops: it is not ready and closes connections after each request. */
  isStopping(): boolean;
  /** True once new requests are refused. */
  isRefusing(): boolean;
  /** True when the process should end, given the requests that it still answers. */
  isDone(requests: number): boolean;
}

/**
 * Creates the state of a host's stop.
 *
 * A host that stops serves on until callers have a newer answer of the directory. Late in the grace
 * it refuses new requests, which callers send elsewhere, so that those that run can end.
 *
 * @param options clock, and the time between the signal and the end by force
 * @returns the state
 *
 * @example
 * const stop = createStopState({ clock, graceMs: 8_000 });
 */
export function createStopState(options: { clock: Clock; graceMs: Millis }): StopState {
  const { clock, graceMs } = options;
  let startMs: Millis | undefined;
  const elapsedMs = () => startMs === undefined ? 0 : clock.nowMs() - startMs;
  const oldAnswersMs = Math.min(DIRECTORY_TTL_MS * DIRECTORY_TTL_FACTOR, graceMs - STOP_MARGIN_MS);
  return {
    begin() {
      startMs ??= clock.nowMs();
    },
    isStopping: () => startMs !== undefined,
    isRefusing: () => startMs !== undefined && elapsedMs() >= graceMs * REFUSE_AFTER_SHARE,
    isDone: (requests) =>
      startMs !== undefined &&
      (elapsedMs() >= graceMs - STOP_MARGIN_MS || (requests === 0 && elapsedMs() >= oldAnswersMs)),
  };
}
