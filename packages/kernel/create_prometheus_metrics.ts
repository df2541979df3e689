import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics } from "./types.ts";

/** Metrics that a Prometheus server scrapes. */
export interface PrometheusMetrics extends Metrics {
  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string>;
}

/** Latency buckets in milliseconds, from a fast forwarded request to the longest deadline. */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 300, 500, 1_000, 1_500, 3_000, 5_000, 15_000];

/**
 * Creates metrics that are kept in the process and scraped by a Prometheus server.
 *
 * @param commonTags labels of every metric, for example host and data centre
 * @returns the metrics
 *
 * @example
 * const metrics = createTextMetrics({ host: "h1" });
 * metrics.increment("refusal", { reason: "no_server" });
 */
export function createPrometheusMetrics(commonTags: Record<string, string>): PrometheusMetrics {
  const registry = new Registry();
  registry.setDefaultLabels(commonTags);
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  const totals = new Map<string, number>();

  const optionsOf = (name: string, tags: Record<string, string>) => ({
    name: `jaypass_${name}`,
    help: name,
    labelNames: Object.keys(tags),
    registers: [registry],
  });
  const findOrCreate = <T>(metrics: Map<string, T>, name: string, create: () => T): T => {
    const known = metrics.get(name);
    if (known !== undefined) return known;
    const metric = create();
    metrics.set(name, metric);
    return metric;
  };

  return {
    increment(name, tags = {}, value = 1) {
      findOrCreate(counters, name, () => new Counter(optionsOf(`${name}_total`, tags)))
        .inc(tags, value);
      const key = `${name}${JSON.stringify(tags)}`;
      totals.set(key, (totals.get(key) ?? 0) + value);
    },
    gauge(name, value, tags = {}) {
      findOrCreate(gauges, name, () => new Gauge(optionsOf(name, tags))).set(tags, value);
    },
    timing(name, valueMs, tags = {}) {
      findOrCreate(
        histograms,
        name,
        () => new Histogram({ ...optionsOf(name, tags), buckets: LATENCY_BUCKETS_MS }),
      ).observe(tags, valueMs);
    },
    counters: () => Object.fromEntries([...totals].sort()),
    close: () => Promise.resolve(),
    text: () => registry.metrics(),
  };
}
