import type { Clock, Millis } from "@jaypass/kernel";
import {
  MAX_SPEED_FACTOR,
  MIN_SLOW_SAMPLES,
  MIN_WATCH_SAMPLES,
  PACE_VALID_MS,
  SLOW_RATIO,
  SPEED_DECAY_MS,
  SPEED_HOLD_MS,
  SPEED_SAMPLE_GAP_MS,
  SPEED_SAMPLE_VALID_MS,
  SPEED_SAMPLES,
  SPEED_WATCH_MS,
  STEADY_PACE,
  TYPICAL_RATIO_VALID_MS,
  WATCH_RATIO,
} from "./constants.ts";

/** Ratio of the observed to the expected time to the first byte of one request. */
export interface SpeedSample {
  /** The ratio; of a request that still waits, the ratio so far. */
  ratio: number;
  /** Time at which the request was placed. */
  placedMs: Millis;
  /** True if several servers have prefilled the prompt, of which any may be the slow one. */
  isShared: boolean;
}

/** Estimate of how much slower a server is than the others of its service. */
export interface ServerSpeed {
  /**
   * Takes a sample, again when the ratio of the same request has grown. A shared one changes no factor
   * and only lets the pace be requested.
   */
  observe(sample: SpeedSample): void;
  /** Sets the factor to the pace that the server has stated. */
  setPace(pace: number): void;
  /** Factor by which expected times are multiplied: 1 for usual speed, more for a slow server. */
  factor(): number;
  /** Median of the ratios of the last seconds; undefined with too few of them. */
  typicalRatio(): number | undefined;
  /** True while the server's pace is worth a request: its samples say that it is slow or was slow. */
  wantsPace(): boolean;
  /** True if the server has stated its pace recently. */
  hasFreshPace(): boolean;
}

/** Options of {@linkcode createServerSpeed}. */
export interface ServerSpeedOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Median of the typical ratios of the service's servers; undefined if there are none. */
  baseline: () => number | undefined;
}

/**
 * Creates the estimate of a server's speed, which starts at the usual one.
 *
 * Meant for engines that become several times slower for some seconds while their health is good. A
 * single late answer, and a model error or a load that is common to all servers, must not count: a
 * server is slow when most of its last samples, of requests that were placed at different times, exceed
 * the service's usual ratio by half.
 *
 * @param options clock and the usual ratio of the service
 * @returns the estimate
 *
 * @example
 * const speed = createServerSpeed({ clock, baseline: () => 1 });
 * speed.observe({ ratio: 4.1, placedMs: clock.nowMs() - 400, isShared: false });
 */
export function createServerSpeed({ clock, baseline }: ServerSpeedOptions): ServerSpeed {
  let samples: { sample: SpeedSample; atMs: Millis }[] = [];
  let settled = { factor: 1, atMs: -Infinity };
  let paceMs = -Infinity;
  let watchedUntilMs = -Infinity;

  const listRatios = (validMs: Millis) =>
    samples.filter(({ atMs }) => clock.nowMs() - atMs <= validMs).map(({ sample }) => sample.ratio);

  /** Keeps a sample unless it was placed together with another one, which saw the same delay. */
  const keep = (sample: SpeedSample): boolean => {
    const known = samples.find((entry) => entry.sample === sample);
    if (known !== undefined) {
      known.atMs = clock.nowMs();
      return true;
    }
    const isBesideOther = samples.some((entry) =>
      Math.abs(entry.sample.placedMs - sample.placedMs) < SPEED_SAMPLE_GAP_MS
    );
    if (isBesideOther) return false;
    samples = [...samples, { sample, atMs: clock.nowMs() }].slice(-SPEED_SAMPLES);
    return true;
  };

  const factor = () => {
    const ageMs = clock.nowMs() - settled.atMs - SPEED_HOLD_MS;
    if (settled.factor === 1 || ageMs >= SPEED_DECAY_MS) return 1;
    return 1 + (settled.factor - 1) * (1 - Math.max(0, ageMs) / SPEED_DECAY_MS);
  };

  const settle = (next: number) => {
    const limited = Math.min(MAX_SPEED_FACTOR, Math.max(1, next));
    settled = { factor: limited, atMs: clock.nowMs() };
    if (limited > 1) watchedUntilMs = clock.nowMs() + SPEED_WATCH_MS;
  };

  return {
    observe(sample) {
      if (sample.placedMs < paceMs) return;
      const isKept = !sample.isShared && keep(sample);
      const usual = baseline();
      if (usual === undefined) return;
      if (sample.ratio >= WATCH_RATIO * usual) {
        watchedUntilMs = Math.max(watchedUntilMs, clock.nowMs() + SPEED_HOLD_MS);
      }
      if (!isKept || clock.nowMs() - paceMs < PACE_VALID_MS) return;
      const ratios = listRatios(SPEED_SAMPLE_VALID_MS);
      const count = (list: readonly number[], minRatio: number) =>
        list.filter((ratio) => ratio >= minRatio * usual).length;
      if (ratios.length >= 2 && count(ratios.slice(-2), SLOW_RATIO) === 0) settle(1);
      else if (
        count(ratios, SLOW_RATIO) >= MIN_SLOW_SAMPLES ||
        count(ratios, WATCH_RATIO) >= MIN_WATCH_SAMPLES
      ) settle(computeLowerMedian(ratios) / usual);
    },
    setPace(pace) {
      paceMs = clock.nowMs();
      samples = [];
      watchedUntilMs = -Infinity;
      settle(pace < STEADY_PACE ? 1 : pace);
    },
    factor,
    typicalRatio() {
      const ratios = listRatios(TYPICAL_RATIO_VALID_MS);
      return ratios.length < MIN_WATCH_SAMPLES ? undefined : computeLowerMedian(ratios);
    },
    wantsPace: () => factor() > 1 || clock.nowMs() < watchedUntilMs,
    hasFreshPace: () => clock.nowMs() - paceMs < PACE_VALID_MS,
  };
}

/** Returns the median of some numbers, of two middle ones the lower. */
export function computeLowerMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 0;
}
