import { StatsD } from "hot-shots";
import type { Metrics } from "./types.ts";

/** Options of {@linkcode createMetrics}. */
export interface MetricsOptions {
  /** Address of the StatsD server; without one, counters are kept but not sent. */
  statsd?: { host: string; port: number };
  /** Tags added to every metric, for example the host and its data centre. */
  tags: Record<string, string>;
}

/**
 * Creates metrics that are sent to a StatsD server.
 *
 * @param options server and common tags
 * @returns the metrics; counters are also kept in the process
 *
 * @example
 * const metrics = createMetrics({ tags: { host: "h1" } });
 * metrics.increment("refusal", { reason: "deadline_unreachable" });
 */
export function createMetrics(options: MetricsOptions): Metrics {
  const client = new StatsD({
    ...options.statsd,
    prefix: "jaypass.",
    globalTags: options.tags,
    mock: options.statsd === undefined,
    maxBufferSize: 1_200,
    errorHandler: () => {},
  });
  const totals = new Map<string, number>();
  const keyOf = (name: string, tags: Record<string, string> = {}) => {
    const parts = Object.entries(tags).map(([tag, value]) => `${tag}=${value}`).sort();
    return parts.length === 0 ? name : `${name}{${parts.join(",")}}`;
  };
  return {
    increment(name, tags, value = 1) {
      const key = keyOf(name, tags);
      totals.set(key, (totals.get(key) ?? 0) + value);
      if (options.statsd) client.increment(name, value, tags);
    },
    gauge(name, value, tags) {
      if (options.statsd) client.gauge(name, value, tags);
    },
    timing(name, valueMs, tags) {
      if (options.statsd) client.timing(name, valueMs, tags);
    },
    counters: () => Object.fromEntries([...totals].sort()),
    close: () => new Promise((resolve) => client.close(() => resolve())),
  };
}
