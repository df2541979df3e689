import test from "ava";
import { createClock } from "@jaypass/kernel";
import { setTimeout as wait } from "node:timers/promises";
import type { AdmissionService, Grant } from "./mod.ts";
import { createTestDocument, testServer } from "./_testing/create_test_document.ts";
import { createTestSystem, testRequest } from "./_testing/create_test_system.ts";

const never = new AbortController().signal;
const LEASE = "pools/small@gent";

function start(hostCount: number, warmLimit: number, rebuildMs = 100) {
  const clock = { ...createClock(), offsetMs: 0 };
  const system = createTestSystem({
    hostCount,
    rebuildMs,
    document: createTestDocument({ e0: testServer({ coldLimit: 1, warmLimit }) }),
    clock: { nowMs: () => performance.now() + clock.offsetMs, wallMs: clock.wallMs },
  });
  /** Acquires a grant and dispatches the request, which the engine runs from then on. */
  const run = async (host: AdmissionService, requestId: string, waitMs: number) => {
    const grant = await host.acquire(
      testRequest(requestId, { firstTokenRemainingMs: waitMs, promptTokens: 10 }),
      never,
    );
    host.checkDispatch(grant);
    system.engines.get("e0")!.active.set(requestId, {
      requestId,
      tokens: 110,
      fencing: grant.fencing,
      state: "running",
    });
    return grant;
  };
  const granted = async (prefix: string, count: number, waitMs: number): Promise<Grant[]> => {
    const results = await Promise.allSettled(
      Array.from(
        { length: count },
        (_, n) => run(system.hosts[n % hostCount]!, `${prefix}${n}`, waitMs),
      ),
    );
    return results.flatMap((result) => result.status === "fulfilled" ? [result.value] : []);
  };
  const other = () =>
    system.leases.candidates(LEASE).find((id) => id !== system.leases.holder(LEASE))!;
  return { system, clock, granted, other };
}

/** Time in which a second poll of an engine confirms that it is warm. */
const WARM_CONFIRM_MS = 600;

test("a grant that was delayed past its dispatch window is not dispatched", async (t) => {
  const { system, clock } = start(2, 8);
  t.teardown(() => system.stop());
  const host = system.hosts[0]!;
  const grant = await host.acquire(testRequest("a"), never);
  t.notThrows(() => host.checkDispatch(grant));
  clock.offsetMs += 1_000;
  t.throws(() => host.checkDispatch(grant), { message: /dispatch window/ });
});

test("a coordinator that lost its lease while paused grants nothing; its successor does", async (t) => {
  const { system, other } = start(4, 8);
  t.teardown(() => system.stop());
  const first = await system.hosts[0]!.acquire(testRequest("a"), never);
  const next = other();
  system.leases.moveTo(LEASE, next, "none");
  const second = await system.hosts[1]!.acquire(testRequest("b"), never);
  t.is(second.coordinator, next);
  t.true(second.fencing > first.fencing);
});

test("a successor counts grants of its predecessor that still run", async (t) => {
  const { system, granted, other } = start(4, 6);
  t.teardown(() => system.stop());
  t.is((await granted("old", 4, 3_000)).length, 4);
  system.leases.moveTo(LEASE, other(), "none");
  const fresh = await granted("new", 6, 3_000);
  t.is(fresh.length, 2);
  t.is(system.engines.get("e0")!.active.size, 6);
  t.deepEqual(system.engines.get("e0")!.cancelled, []);
});

test("a successor counts running work of a host that does not answer", async (t) => {
  const { system, granted, other } = start(5, 6);
  t.teardown(() => system.stop());
  await granted("old", 5, 3_000);
  const next = other();
  const silent = system.views.find(({ id }) => !system.leases.candidates(LEASE).includes(id))!;
  system.cut.add(silent.peerAddress);
  system.leases.moveTo(LEASE, next, "none");
  const fresh = await granted("new", 6, 1_500);
  t.true(fresh.length <= 1);
  t.true(system.engines.get("e0")!.active.size <= 6);
  t.deepEqual(system.engines.get("e0")!.cancelled, []);
});

test("in a store outage half of the limit is granted, and no more", async (t) => {
  const { system, granted } = start(4, 6);
  t.teardown(() => system.stop());
  const [first] = await granted("warm", 1, 3_000);
  // The warm limit applies only when a second report has confirmed the first one.
  await wait(WARM_CONFIRM_MS);
  const owner = system.hosts[0]!;
  owner.release(first!, { outcome: "done", totalMs: 10 });
  system.engines.get("e0")!.active.clear();
  system.leases.lapse(LEASE);
  await wait(50);
  t.is((await granted("outage", 6, 1_200)).length, 3);
});

test("an earlier holder with a retained share and its successor together stay within the limit", async (t) => {
  const { system, granted, other } = start(6, 6);
  t.teardown(() => system.stop());
  t.is((await granted("old", 1, 3_000)).length, 1);
  await wait(WARM_CONFIRM_MS);
  const earlier = system.leases.holder(LEASE)!;
  system.leases.moveTo(LEASE, other(), "retained");
  const before = system.engines.get("e0")!.active.size;
  await granted("both", 12, 3_000);
  const engine = system.engines.get("e0")!;
  t.true(engine.active.size <= 6, `${engine.active.size} run, ${before} before, ${earlier}`);
  t.true(engine.active.size >= 4);
  t.deepEqual(engine.cancelled, []);
});
