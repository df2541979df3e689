import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createMetrics } from "@jaypass/kernel";
import type { Lease } from "@jaypass/leases";
import { createManualClock } from "./_testing/create_manual_clock.ts";
import { HOST_SILENCE_MS } from "./constants.ts";
import { createQuotaCoordinator } from "./create_quota_coordinator.ts";

const LONGEST_REQUEST_MS = 60_000;
const LEASE = {
  fencing: () => 1,
  mode: () => "held",
  validMs: () => 9_000,
  allow: (limit: number) => limit,
  holder: () => undefined,
} as unknown as Lease;

/** Creates a coordinator and reports 2 slots of a host, whose process has an incarnation. */
function setUp(onAsked: (report: (incarnation: string) => void) => string | undefined) {
  const clock = createManualClock();
  let sequence = 0;
  const report = (incarnation: string) =>
    coordinator.handle({
      shard: "quota/1",
      owner: { host: "h1", incarnation, address: "h1:1" },
      sequence: ++sequence,
      entries: [{ workspace: "museum", held: 2, want: 0, spare: 0 }],
    });
  const coordinator = createQuotaCoordinator({
    clock,
    metrics: createMetrics({ tags: {} }),
    lease: LEASE,
    membership: {
      hosts: () => [],
      askIncarnation(): Promise<{ host: string; incarnation: string } | undefined> {
        const incarnation = onAsked(report);
        return Promise.resolve(incarnation === undefined ? undefined : { host: "h1", incarnation });
      },
    },
    limitOf: () => 4,
    longestRequestMs: () => LONGEST_REQUEST_MS,
    announce() {},
  });
  report("1");
  return { clock, coordinator };
}

/** Waits until the coordinator has looked for silent hosts. */
const waitForLook = () => wait(HOST_SILENCE_MS / 3 + 200);

test("a coordinator that stood still keeps the slots of a host whose report had waited", async (t) => {
  const { clock, coordinator } = setUp((report) => {
    report("1");
    return "1";
  });
  t.teardown(() => coordinator.stop());
  clock.advance(LONGEST_REQUEST_MS + 1);
  await waitForLook();
  t.is(coordinator.used("museum"), 2);
});

test("a new process that reports while it is asked keeps its slots", async (t) => {
  const { clock, coordinator } = setUp((report) => {
    report("2");
    return "2";
  });
  t.teardown(() => coordinator.stop());
  clock.advance(HOST_SILENCE_MS);
  await waitForLook();
  t.is(coordinator.used("museum"), 2);
});

test("the slots of a host that has been silent for the longest request, or was replaced, are free", async (t) => {
  for (
    const { silentMs, incarnation } of [
      { silentMs: LONGEST_REQUEST_MS + 1, incarnation: undefined },
      { silentMs: HOST_SILENCE_MS, incarnation: "2" },
    ]
  ) {
    const { clock, coordinator } = setUp(() => incarnation);
    t.teardown(() => coordinator.stop());
    clock.advance(silentMs);
    await waitForLook();
    t.is(coordinator.used("museum"), 0);
  }
});
