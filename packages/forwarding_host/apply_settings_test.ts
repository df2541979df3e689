import test from "ava";
import { applySettings } from "./apply_settings.ts";
import type { ForwardingHostSettings } from "./types.ts";

const SETTINGS: ForwardingHostSettings = {
  host: "h1",
  dataCentre: "dc-a",
  processorShare: 0.5,
  callerAddress: "127.0.0.1:80",
  readinessAddress: undefined,
  directoryAddress: undefined,
  linkAddress: "127.0.0.1:81",
  metricsAddress: "127.0.0.1:82",
  stopGraceMs: 8_000,
  maxDirectoryTtlMs: 5_000,
  retryLimits: { ratio: 0.2, slack: 10, windowMs: 10_000 },
  coldLimits: { multiplier: 1.5, slack: 5 },
};

test("limits and times change in a running host, and the rest is named", (t) => {
  const current = structuredClone(SETTINGS);
  const next = {
    ...structuredClone(SETTINGS),
    host: "h2",
    processorShare: 1,
    stopGraceMs: 4_000,
    maxDirectoryTtlMs: 1_000,
    retryLimits: { ratio: 0.1, slack: 5, windowMs: 10_000 },
    coldLimits: { multiplier: 1, slack: 1 },
  };
  t.deepEqual(applySettings(current, next), ["host", "processorShare"]);
  t.deepEqual(current, { ...next, host: "h1", processorShare: 0.5 });
});

test("hedged requests are turned on and off in a running host", (t) => {
  const current = structuredClone(SETTINGS);
  const hedge = { maxShare: 0.02, maxWorkShare: 0.01, quantile: 0.9 };
  t.deepEqual(applySettings(current, { ...SETTINGS, hedge }), []);
  t.deepEqual(current.hedge, hedge);
  applySettings(current, SETTINGS);
  t.is(current.hedge, undefined);
});
