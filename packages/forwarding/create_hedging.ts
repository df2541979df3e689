import type { Clock, Millis } from "@jaypass/kernel";
import type { Histogram } from "hdr-histogram-js";
import { createHedgeBudget } from "./create_hedge_budget.ts";
import type { HedgeGrant, HedgeShares } from "./create_hedge_budget.ts";
import { createLatencyQuantiles } from "./create_latency_quantiles.ts";
import type { LatencyKind, LatencyQuantiles } from "./create_latency_quantiles.ts";

/** Digits of a latency that are kept; a bucket is at most a hundredth of its values wide. */
const SIGNIFICANT_DIGITS = 2;

/** Bits of each counter of a histogram. */
const COUNTER_BITS = 32;

/** Settings of hedged requests. */
export interface HedgeLimits extends HedgeShares {
  /** Quantile of the time to the first byte after which a request counts as slower than usual. */
  quantile: number;
}

/** What a host knows and allows of hedged requests. Nothing is learned and allowed while they are off. */
export interface Hedging {
  /** Time to the first byte that most requests of a kind need; undefined while it is not known. */
  findUsualMs(kind: LatencyKind): Millis | undefined;
  /** Records the time of a run to its first byte. */
  recordFirstByte(kind: LatencyKind, latencyMs: Millis): void;
  /** Records that a run ended without a first byte. */
  recordUnanswered(kind: LatencyKind, elapsedMs: Millis): void;
  /** Counts a request whose answer has begun, which earns a part of a hedge. */
  countRequest(service: string): void;
  /** Counts the engine time of a run that has ended. */
  countWork(service: string, workMs: Millis): void;
  /** Takes one hedge from the budget of the service; undefined if it is used up. */
  tryTake(service: string): HedgeGrant | undefined;
}

/** Options of {@linkcode createHedging}. */
export interface HedgingOptions {
  /** Monotonic time source. */
  clock: Pick<Clock, "nowMs">;
  /** Current settings; undefined while hedged requests are off. */
  limits: () => HedgeLimits | undefined;
  /** Loads the histograms; `hdr-histogram-js` by default. */
  loadHistograms?: () => Promise<(maxValue: number) => Histogram>;
}

/**
 * Creates the state of a host's hedged requests.
 *
 * @param options clock and settings
 * @returns the state, which knows no latency yet
 *
 * @example
 * const hedging = createHedging({ clock, limits: () => settings.hedge });
 */
export function createHedging(options: HedgingOptions): Hedging {
  const { clock, limits, loadHistograms = loadHdrHistograms } = options;
  const activeLimits = () => {
    const current = limits();
    return current === undefined || current.maxShare === 0 ? undefined : current;
  };
  const budget = createHedgeBudget(() => activeLimits() ?? { maxShare: 0, maxWorkShare: 0 });
  let isLoading = false;
  let quantiles: LatencyQuantiles | undefined;
  const findQuantiles = () => {
    if (quantiles !== undefined || isLoading) return quantiles;
    isLoading = true;
    void loadHistograms().then((createHistogram) => {
      quantiles = createLatencyQuantiles({ clock, createHistogram });
    });
    return undefined;
  };
  return {
    findUsualMs(kind) {
      const active = activeLimits();
      return active && findQuantiles()?.find(kind, active.quantile);
    },
    recordFirstByte(kind, latencyMs) {
      if (activeLimits() !== undefined) findQuantiles()?.record(kind, latencyMs);
    },
    recordUnanswered(kind, elapsedMs) {
      const active = activeLimits();
      if (active) findQuantiles()?.recordUnanswered(kind, elapsedMs, active.quantile);
    },
    countRequest(service) {
      if (activeLimits() !== undefined) budget.countRequest(service);
    },
    countWork(service, workMs) {
      if (activeLimits() !== undefined) budget.countWork(service, workMs);
    },
    tryTake: (service) => activeLimits() === undefined ? undefined : budget.tryTake(service),
  };
}

/**
 * Loads the library at its first use, and only the histograms: the whole of it would make the program of
 * a host half as large again, which delays its start.
 */
async function loadHdrHistograms() {
  const { constructorFromBucketSize } = await import(
    "hdr-histogram-js/dist/JsHistogramFactory.js"
  );
  const Histogram = constructorFromBucketSize(COUNTER_BITS);
  return (maxValue: number) => new Histogram(1, maxValue, SIGNIFICANT_DIGITS);
}
