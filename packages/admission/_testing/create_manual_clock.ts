import type { Clock, Millis } from "@jaypass/kernel";

/** Creates a clock that moves only when `advance` is called. */
export function createManualClock(): Clock & { advance(ms: Millis): void } {
  let nowMs = 1_000_000;
  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    advance: (ms) => void (nowMs += ms),
  };
}
