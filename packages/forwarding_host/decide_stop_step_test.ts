import test from "ava";
import { decideStopStep } from "./decide_stop_step.ts";
import type { StoppingHost } from "./decide_stop_step.ts";
import { isStoppingHostNeeded } from "./is_stopping_host_needed.ts";

/** A host that has just got the signal, while all others accept callers. */
const CALM: StoppingHost = {
  turnInMs: 0,
  leftAgoMs: undefined,
  remainingMs: 7_500,
  requests: 2,
  readyHosts: 17,
  recentHosts: 17,
  usualHosts: 17,
};

const cases: [name: string, host: StoppingHost][] = [
  ["signal, others ready", CALM],
  ["signal, others ready, not its turn", { ...CALM, turnInMs: 100 }],
  ["signal, half of the others ready", { ...CALM, readyHosts: 9 }],
  ["signal, few others ready", { ...CALM, readyHosts: 8 }],
  ["signal, the only host of its system", { ...CALM, readyHosts: 0, usualHosts: 0 }],
  ["few others ready, little time left", { ...CALM, readyHosts: 8, remainingMs: 2_600 }],
  ["left, idle, callers may know it", { ...CALM, leftAgoMs: 5_900, requests: 0 }],
  ["left, idle, callers know of it", { ...CALM, leftAgoMs: 6_000, requests: 0 }],
  ["left, busy", { ...CALM, leftAgoMs: 6_500, remainingMs: 1_000 }],
  ["left, busy, no time left", { ...CALM, leftAgoMs: 7_500, remainingMs: 0 }],
  ["left, idle, other hosts away as well", {
    ...CALM,
    leftAgoMs: 2_600,
    requests: 0,
    readyHosts: 14,
    recentHosts: 14,
  }],
  ["left, busy, other hosts away as well", {
    ...CALM,
    leftAgoMs: 2_600,
    readyHosts: 14,
    recentHosts: 14,
  }],
  ["left, idle, callers may know it, other hosts away as well", {
    ...CALM,
    leftAgoMs: 2_200,
    requests: 0,
    readyHosts: 14,
    recentHosts: 14,
  }],
  ["left, idle, other hosts away for a moment", {
    ...CALM,
    leftAgoMs: 2_600,
    requests: 0,
    readyHosts: 14,
  }],
  ["left, idle, no other ready", {
    ...CALM,
    leftAgoMs: 2_600,
    requests: 0,
    readyHosts: 0,
    recentHosts: 0,
  }],
  ["left, idle, no other known for a moment", {
    ...CALM,
    leftAgoMs: 2_600,
    requests: 0,
    readyHosts: 0,
  }],
  ["left, busy, no other ready", { ...CALM, leftAgoMs: 2_700, readyHosts: 0 }],
];

test("a stopping host leaves its callers to others only if there are enough of them", (t) => {
  t.snapshot(cases.map(([name, host]) => ({
    name,
    step: decideStopStep(host),
    isNeeded: isStoppingHostNeeded(host),
  })));
});
