import test from "ava";
import { build } from "hdr-histogram-js";
import { LATENCY_WINDOW_MS, MAX_LATENCY_SERIES } from "./constants.ts";
import { createLatencyQuantiles } from "./create_latency_quantiles.ts";

const SHORT = { route: "chat", promptTokens: 5_000 };

function setUp() {
  const state = { nowMs: 0, histogramCount: 0 };
  const latencies = createLatencyQuantiles({
    clock: { nowMs: () => state.nowMs },
    createHistogram(highestTrackableValue) {
      state.histogramCount += 1;
      return build({ highestTrackableValue, numberOfSignificantValueDigits: 2 });
    },
  });
  const recordMany = (count: number, latencyMs: number, kind = SHORT) => {
    for (let at = 0; at < count; at++) latencies.record(kind, latencyMs);
  };
  return { state, latencies, recordMany };
}

test("a quantile is known once a run is expected above it", (t) => {
  const { latencies, recordMany } = setUp();
  recordMany(19, 100);
  t.is(latencies.find(SHORT, 0.95), undefined);
  recordMany(1, 900);
  t.is(latencies.find(SHORT, 0.95), 100);
});

test("routes and sizes of prompts have quantiles of their own", (t) => {
  const { latencies, recordMany } = setUp();
  recordMany(20, 100);
  recordMany(20, 800, { route: "chat", promptTokens: 45_000 });
  t.is(latencies.find({ route: "chat", promptTokens: 8_000 }, 0.95), 100);
  t.true((latencies.find({ route: "chat", promptTokens: 40_000 }, 0.95) ?? 0) > 700);
  t.is(latencies.find({ route: "other", promptTokens: 5_000 }, 0.95), undefined);
});

test("old values fade after two windows, and a kind without requests is forgotten", (t) => {
  const { state, latencies, recordMany } = setUp();
  recordMany(40, 1_000);
  state.nowMs = LATENCY_WINDOW_MS;
  recordMany(20, 100);
  t.true((latencies.find(SHORT, 0.95) ?? 0) > 900);
  state.nowMs = 2 * LATENCY_WINDOW_MS;
  t.is(latencies.find(SHORT, 0.95), 100);
  state.nowMs = 5 * LATENCY_WINDOW_MS;
  t.is(latencies.find(SHORT, 0.95), undefined);
});

// Guards against a quantile that falls because hedges end the slow runs before their first byte.
test("a run without a first byte counts if it lasted longer than usual", (t) => {
  const { latencies, recordMany } = setUp();
  recordMany(20, 100);
  latencies.recordUnanswered(SHORT, 50, 0.95);
  t.is(latencies.find(SHORT, 0.5), 100);
  for (let at = 0; at < 3; at++) latencies.recordUnanswered(SHORT, 400, 0.95);
  t.true((latencies.find(SHORT, 0.95) ?? 0) >= 400);
});

// Guards against memory that grows with the number of routes.
test("the least recently used kind is forgotten when there are too many", (t) => {
  const { state, latencies, recordMany } = setUp();
  for (let at = 0; at < 2 * MAX_LATENCY_SERIES; at++) {
    recordMany(20, 100, { route: `r${at}`, promptTokens: 0 });
    recordMany(1, 100);
  }
  t.is(latencies.find({ route: "r0", promptTokens: 0 }, 0.95), undefined);
  t.is(latencies.find(SHORT, 0.95), 100);
  t.is(state.histogramCount, 2 * MAX_LATENCY_SERIES + 1);
});
