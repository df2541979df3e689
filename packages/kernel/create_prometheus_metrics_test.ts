import test from "ava";
import { createPrometheusMetrics } from "./create_prometheus_metrics.ts";

test("counters, gauges and histograms have the common tags in the text format", async (t) => {
  const metrics = createPrometheusMetrics({ host: "h1" });
  metrics.increment("refusal", { reason: "no_server" });
  metrics.increment("refusal", { reason: "no_server" }, 2);
  metrics.increment("refusal", { reason: "deadline" });
  metrics.gauge("waiting", 4);
  metrics.timing("answer_ms", 40, { route: "r1" });
  t.snapshot(await metrics.text());
});
