import type { Clock, Millis } from "@jaypass/kernel";
import {
  MAX_SPEED_FACTOR,
  MIN_SLOW_SAMPLES,
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
} from "./constants.ts";

/** Estimate of how much slower a server is than the others of its service. */
export interface ServerSpeed {
  /** Adds the ratio of the observed to the expected time to a first byte of this server alone. */
  addSample(ratio: number): void;
  /**
   * Adds such a ratio of a prompt that several servers have prefilled, of which any may be the slow one.
   * It changes no factor and only lets the pace be requested.
   */
  addSharedSample(ratio: number): void;
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

interface Sample {
  ratio: number;
  atMs: Millis;
}

/**
 * Creates the estimate of a server's speed, which starts at the usual one.
 *
 * Meant for engines that become several times slower for some seconds while their health is good. A
 * single late answer, and a model error or a load that is common to all servers, must not count: a
 * server is slow when most of its last samples, taken at different times, exceed the service's usual
 * ratio by half.
 *
 * @param options clock and the usual ratio of the service
 * @returns the estimate
 *
 * @example
 * const speed = createServerSpeed({ clock, baseline: () => 1 });
 * speed.addSample(4.1);
 */
export function createServerSpeed({ clock, baseline }: ServerSpeedOptions): ServerSpeed {
  let samples: Sample[] = [];
  let shared: Sample[] = [];
  let settled = { factor: 1, atMs: -Infinity };
  let paceMs = -Infinity;
  let watchedUntilMs = -Infinity;

  const keep = (list: Sample[], ratio: number): Sample[] => {
    const atMs = clock.nowMs();
    const last = list.at(-1);
    // Requests that wait for the same pass or prefill are one observation.
    if (last !== undefined && atMs - last.atMs < SPEED_SAMPLE_GAP_MS) return list;
    return [...list, { ratio, atMs }].slice(-SPEED_SAMPLES);
  };
  const listValid = (list: readonly Sample[], validMs: Millis) =>
    list.filter(({ atMs }) => clock.nowMs() - atMs <= validMs).map(({ ratio }) => ratio);
  const typicalRatio = () => {
    const ratios = listValid(samples, TYPICAL_RATIO_VALID_MS);
    return ratios.length < MIN_SLOW_SAMPLES ? undefined : computeLowerMedian(ratios);
  };
  const countSlow = (ratios: readonly number[], usual: number) =>
    ratios.filter((ratio) => ratio >= SLOW_RATIO * usual).length;

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
    addSample(ratio) {
      const next = keep(samples, ratio);
      if (next === samples) return;
      samples = next;
      const usual = baseline();
      if (usual === undefined || clock.nowMs() - paceMs < PACE_VALID_MS) return;
      const ratios = listValid(samples, SPEED_SAMPLE_VALID_MS);
      const isRecovered = ratios.length >= 2 && countSlow(ratios.slice(-2), usual) === 0;
      if (countSlow(ratios, usual) >= MIN_SLOW_SAMPLES && !isRecovered) {
        settle(computeLowerMedian(ratios) / usual);
      } else if (isRecovered) settle(1);
    },
    addSharedSample(ratio) {
      shared = keep(shared, ratio);
      const ratios = listValid(shared, SPEED_SAMPLE_VALID_MS);
      if (countSlow(ratios, baseline() ?? 1) < MIN_SLOW_SAMPLES - 1) return;
      watchedUntilMs = Math.max(watchedUntilMs, clock.nowMs() + SPEED_HOLD_MS);
    },
    setPace(pace) {
      paceMs = clock.nowMs();
      // Samples from before may belong to another speed.
      samples = [];
      shared = [];
      settle(pace < STEADY_PACE ? 1 : pace);
    },
    factor,
    typicalRatio,
    wantsPace: () => factor() > 1 || clock.nowMs() < watchedUntilMs,
    hasFreshPace: () => clock.nowMs() - paceMs < PACE_VALID_MS,
  };
}

/** Returns the median of some numbers, of two middle ones the lower. */
export function computeLowerMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1] ?? 0;
}
