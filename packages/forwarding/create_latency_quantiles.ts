import type { Clock, Millis } from "@jaypass/kernel";
import type { Histogram } from "hdr-histogram-js";
import {
  FIRST_SIZE_CLASS_TOKENS,
  LATENCY_WINDOW_MS,
  MAX_LATENCY_MS,
  MAX_LATENCY_SERIES,
  MIN_SAMPLES_ABOVE_QUANTILE,
} from "./constants.ts";

/** Requests whose latencies are comparable. */
export interface LatencyKind {
  /** Name of the route. */
  route: string;
  /** Length of the prompt in tokens; 0 for plain services. */
  promptTokens: number;
}

/** Learned times to the first byte. */
export interface LatencyQuantiles {
  /** Records the time of a run from its start to its first byte. */
  record(kind: LatencyKind, latencyMs: Millis): void;
  /**
   * Records that a run ended after a time without a first byte. It counts only if it lasted longer than
   * the quantile: a shorter one does not tell on which side of it the run would have been. Without the
   * longer ones the quantile would fall with each run that a hedge ends.
   */
  recordUnanswered(kind: LatencyKind, elapsedMs: Millis, quantile: number): void;
  /** Returns a quantile in milliseconds; undefined while too few runs are known. */
  find(kind: LatencyKind, quantile: number): Millis | undefined;
}

/** Options of {@linkcode createLatencyQuantiles}. */
export interface LatencyQuantilesOptions {
  /** Monotonic time source. */
  clock: Pick<Clock, "nowMs">;
  /** Creates an empty histogram for values from 1 to the given one. */
  createHistogram: (maxValue: number) => Histogram;
}

/** Values of the present window and of the one before. */
interface Series {
  current: Histogram;
  previous: Histogram | undefined;
  startMs: Millis;
}

/**
 * Creates the record of the time to the first byte for each route and class of prompt sizes.
 *
 * Each series has two windows, of which the older one is dropped when the newer one is full, so that
 * old values fade and a quantile never rests on one window that has just begun. The least recently used
 * series is dropped when there are too many.
 *
 * @param options clock and histograms
 * @returns the record, which knows nothing yet
 *
 * @example
 * const latencies = createLatencyQuantiles({ clock, createHistogram });
 * latencies.record({ route: "chat", promptTokens: 5_000 }, 120);
 * latencies.find({ route: "chat", promptTokens: 5_000 }, 0.95);
 */
export function createLatencyQuantiles(options: LatencyQuantilesOptions): LatencyQuantiles {
  const { clock, createHistogram } = options;
  const allSeries = new Map<string, Series>();

  const findSeries = (kind: LatencyKind): Series | undefined => {
    const key = toKey(kind);
    const series = allSeries.get(key);
    if (series === undefined) return undefined;
    // The last one in the order of insertion is the most recently used one.
    allSeries.delete(key);
    const ageMs = clock.nowMs() - series.startMs;
    if (ageMs >= 2 * LATENCY_WINDOW_MS) return undefined;
    allSeries.set(key, series);
    if (ageMs >= LATENCY_WINDOW_MS) {
      series.previous = series.current;
      series.current = createHistogram(MAX_LATENCY_MS);
      series.startMs += LATENCY_WINDOW_MS;
    }
    return series;
  };

  const addSeries = (kind: LatencyKind): Series => {
    const series = {
      current: createHistogram(MAX_LATENCY_MS),
      previous: undefined,
      startMs: clock.nowMs(),
    };
    allSeries.set(toKey(kind), series);
    const [oldest] = allSeries.keys();
    if (allSeries.size > MAX_LATENCY_SERIES && oldest !== undefined) allSeries.delete(oldest);
    return series;
  };

  const record = (kind: LatencyKind, latencyMs: Millis) => {
    const { current } = findSeries(kind) ?? addSeries(kind);
    current.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(latencyMs))));
  };

  const find = (kind: LatencyKind, quantile: number): Millis | undefined => {
    const series = findSeries(kind);
    if (series === undefined) return undefined;
    const { current, previous } = series;
    const count = current.totalCount + (previous?.totalCount ?? 0);
    if (count * (1 - quantile) < MIN_SAMPLES_ABOVE_QUANTILE) return undefined;
    if (previous === undefined) return current.getValueAtPercentile(100 * quantile);
    const both = createHistogram(MAX_LATENCY_MS);
    both.add(current);
    both.add(previous);
    return both.getValueAtPercentile(100 * quantile);
  };

  return {
    record,
    recordUnanswered(kind, elapsedMs, quantile) {
      const usualMs = find(kind, quantile);
      if (usualMs !== undefined && elapsedMs >= usualMs) record(kind, elapsedMs);
    },
    find,
  };
}

function toKey({ route, promptTokens }: LatencyKind): string {
  return `${computeSizeClass(promptTokens)} ${route}`;
}

/** Computes the class of a prompt's length; the prefill of the longest one takes four times as long. */
function computeSizeClass(promptTokens: number): number {
  if (promptTokens <= 0) return 0;
  return 1 + Math.max(0, Math.ceil(Math.log2(promptTokens / FIRST_SIZE_CLASS_TOKENS) / 2));
}
