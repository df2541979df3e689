import type { Millis } from "@jaypass/kernel";
import { MIN_SPEED_SAMPLE_MS } from "../constants.ts";
import type { ServerSpeed, SpeedSample } from "../create_server_speed.ts";

/** A prefill whose time to the first byte is a sample of its server's speed. */
export interface SampledPrefill {
  /** Expected milliseconds of prefill on the server at its usual speed. */
  prefillMs: Millis;
  /** Time at which the request was placed. */
  startMs: Millis;
  /** Expected time to the first byte at usual speed; undefined if no sample is taken. */
  expectedMs?: Millis;
  /** True if other servers prefill parts of the prompt. */
  isSplit?: boolean;
  /** Sample that the request has given so far. */
  sample?: SpeedSample;
}

/**
 * Drops the samples of requests whose first byte depends on a longer prefill beside them: how long that
 * one takes is not known well enough to tell a slow server from a wrong estimate.
 *
 * @param pending prefills of one server that have not ended
 *
 * @example
 * dropUnsureSamples(pending);
 */
export function dropUnsureSamples(pending: readonly SampledPrefill[]): void {
  for (const prefill of pending) {
    const { expectedMs = 0, prefillMs } = prefill;
    const isBesideLonger = pending.some((other) =>
      other !== prefill && other.prefillMs > Math.max(prefillMs, expectedMs / 2)
    );
    if (isBesideLonger) prefill.expectedMs = undefined;
  }
}

/**
 * Samples the speed of a server by the time that a request has waited for its first byte so far.
 *
 * @param prefill the request's prefill, which keeps its sample
 * @param speed receives the sample
 * @param options time, and the least ratio to the expected time that counts; 0 by default
 *
 * @example
 * sampleSpeed(share, speed, { nowMs: clock.nowMs() });
 */
export function sampleSpeed(
  prefill: SampledPrefill,
  speed: ServerSpeed,
  { nowMs, minRatio = 0 }: { nowMs: Millis; minRatio?: number },
): void {
  const { expectedMs = 0, startMs, isSplit = false } = prefill;
  if (expectedMs < MIN_SPEED_SAMPLE_MS) return;
  const ratio = (nowMs - startMs) / expectedMs;
  if (ratio < minRatio) return;
  prefill.sample ??= { ratio, placedMs: startMs, isShared: isSplit };
  prefill.sample.ratio = ratio;
  speed.observe(prefill.sample);
}
