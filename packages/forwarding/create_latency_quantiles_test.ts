import test from "ava";
import { build } from "hdr-histogram-js";
import { LATENCY_WINDOW_MS, MAX_LATENCY_SERIES } from "./constants.ts";
import { createLatencyQuantiles } from "./create_latency_quantiles.ts";

const SHORT = { route: "chat", promptTokens: 5_000 };

function setUp() {
  const state = { nowMs: 0 };
  const latencies = createLatencyQuantiles({
    clock: { nowMs: () => state.nowMs },
    createHistogram: (highestTrackableValue) =>
      build({ highestTrackableValue, numberOfSignificantValueDigits: 2 }),
  });
  const record = (count: number, latencyMs: number, kind = SHORT) => {
    for (let at = 0; at < count; at++) latencies.record(kind, latencyMs);
  };
  return { state, latencies, record, p95: (kind = SHORT) => latencies.find(kind, 0.95) ?? 0 };
}

test("a quantile is known once a run is expected above it, for each route and size", (t) => {
  const { record, p95 } = setUp();
  record(19, 100);
  t.is(p95(), 0);
  record(1, 900);
  record(20, 200, { route: "chat", promptTokens: 45_000 });
  t.deepEqual([p95(), p95({ ...SHORT, route: "other" })], [100, 0]);
  t.true(p95({ route: "chat", promptTokens: 40_000 }) >= 200);
});

test("old values fade after two windows, and a kind without requests is forgotten", (t) => {
  const { state, record, p95 } = setUp();
  record(40, 1_000);
  state.nowMs = LATENCY_WINDOW_MS;
  record(20, 100);
  t.true(p95() > 900);
  state.nowMs = 2 * LATENCY_WINDOW_MS;
  t.is(p95(), 100);
  state.nowMs = 5 * LATENCY_WINDOW_MS;
  t.is(p95(), 0);
});

// Guards against a quantile that falls because hedges end the slow runs before their first byte.
test("a run without a first byte counts if it lasted longer than usual", (t) => {
  const { latencies, record, p95 } = setUp();
  record(20, 100);
  latencies.recordUnanswered(SHORT, 50, 0.95);
  t.is(latencies.find(SHORT, 0.01), 100);
  for (let at = 0; at < 3; at++) latencies.recordUnanswered(SHORT, 400, 0.95);
  t.true(p95() >= 400);
});

// Guards against memory that grows with the number of routes.
test("the least recently used kind is forgotten when there are too many", (t) => {
  const { record, p95 } = setUp();
  for (let at = 0; at < 2 * MAX_LATENCY_SERIES; at++) {
    record(20, 100, { route: `r${at}`, promptTokens: 0 });
    record(1, 100);
  }
  t.deepEqual([p95({ route: "r0", promptTokens: 0 }), p95()], [0, 100]);
});
