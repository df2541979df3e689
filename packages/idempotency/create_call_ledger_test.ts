import test from "ava";
import type { ExecutionContext } from "ava";
import { createClock, createMetrics, sleep } from "@jaypass/kernel";
import type { Logger } from "@jaypass/kernel";
import { createObjectClient, createTableClient } from "@jaypass/store_clients";
import { createPlatformStandIn } from "@jaypass/stand_ins";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { CallError, createCallLedger, LEDGER_TIMING } from "./mod.ts";
import type { CallLedger, CallResult, LedgerCall, LedgerTiming, PreparedCall } from "./mod.ts";

const log = { info() {}, warn() {}, error() {}, debug() {} } as unknown as Logger;
/**
 * Long waits, so that a slow machine causes no failure; tests of a store outage use shorter ones.
 */
const timing = {
  ...LEDGER_TIMING,
  ...{ storeTimeoutMs: 500, storeWaitMs: 20_000, pollMs: 10, maxPollMs: 40, settleRetryMs: 50 },
  ...{ startedPatienceMs: 200, sendGraceMs: 20_000, cleanUpMs: 40 },
};
const SHORT_WAIT = { storeTimeoutMs: 150, storeWaitMs: 500 };

/** A service that records executions and refuses fencing numbers below the fence of a key. */
function createService() {
  const runs = new Map<string, string[]>();
  const fences = new Map<string, number>();
  const results = new Map<string, CallResult>();
  const execute = (key: string, fencing: number, requestId: string, bytes = 8) => {
    if (fencing < (fences.get(key) ?? 0)) {
      throw Object.assign(new Error("Fenced"), { ran: "not_run", reason: "fenced" });
    }
    runs.set(key, [...runs.get(key) ?? [], requestId]);
    const body = new Uint8Array(bytes).fill(runs.get(key)!.length);
    const result = { status: 201, contentType: "application/octet-stream", body };
    results.set(key, result);
    return result;
  };
  return {
    execute,
    count: (key: string) => runs.get(key)?.length ?? 0,
    requests: (key: string) => runs.get(key) ?? [],
    lookUp: (key: string) => results.get(key),
    raiseFence: (key: string, fencing: number) => void fences.set(key, fencing),
  };
}

async function createTestSystem(t: ExecutionContext, seed = 1) {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const platform = await createPlatformStandIn({
    random,
    readsPerSecond: 1e6,
    writesPerSecond: 1e6,
  });
  const service = createService();
  const endedHosts = new Set<string>();
  const ledgers = new Map<string, CallLedger>();
  const cleanUps: (() => Promise<void>)[] = [];
  const metrics = createMetrics({ tags: {} });
  let wallMs = 1e12;
  let requests = 0;

  const open = (host: string, changes: Partial<LedgerTiming> = {}): CallLedger => {
    const clock = { nowMs: createClock().nowMs, wallMs: () => wallMs };
    const options = { baseUrl: platform.url, client: host, clock, random, metrics };
    const [table, objects] = [createTableClient(options), createObjectClient(options)];
    const ledger = createCallLedger({
      ...{ table, objects, clock, random, metrics, log, timing: { ...timing, ...changes } },
      self: { host, incarnation: "1", address: host },
      isHostGone: (owner) => endedHosts.has(owner.host),
      askHost: ({ owner, ...query }) =>
        Promise.resolve(
          ledgers.get(owner.host)?.answerStatus({ owner, ...query }) ?? "unreachable",
        ),
    });
    ledgers.set(host, ledger);
    cleanUps.push(async () => {
      await ledger.stop();
      await Promise.all([table.close(), objects.close()]);
    });
    return ledger;
  };
  const createCall = (key: string, changes: Partial<LedgerCall> & Partial<PreparedCall> = {}) => {
    const requestId = `r${++requests}`;
    const { send, ...rest } = changes;
    const call: LedgerCall = {
      ...{ workspace: "w", service: "s", operation: "book", key, bodyHash: "b", requestId },
      ...{ remainingMs: 20_000, resolution: "none" },
      prepare: () =>
        Promise.resolve({
          send: send ?? ((fencing) => Promise.resolve(service.execute(key, fencing, requestId))),
          abandon: () => {},
        }),
      resolve: (fencing) => {
        if (call.resolution === "fence") service.raiseFence(key, fencing);
        return Promise.resolve(service.lookUp(key));
      },
      ...rest,
    };
    return call;
  };
  t.teardown(async () => {
    platform.setFaults({}, { reset: true });
    await Promise.all(cleanUps.map((close) => close()));
    await platform.stop();
  });
  return {
    ...{ platform, service, endedHosts, open, createCall },
    run: (ledger: CallLedger, call: LedgerCall) => ledger.run(call, new AbortController().signal),
    /** Makes a host unreachable; its process may still be resumed. */
    makeUnreachable: (host: string) => void ledgers.delete(host),
    advanceWall: (ms: number) => void (wallMs += ms),
  };
}

async function expectRefusal(promise: Promise<unknown>): Promise<{ reason: string; ran: string }> {
  const err = await promise.then(() => undefined, (err) => err);
  if (!(err instanceof CallError)) throw new Error("No refusal", { cause: err });
  return { reason: err.reason, ran: err.ran };
}

const gate = () => {
  let open = () => {};
  const opened = new Promise<void>((resolve) => open = resolve);
  return { opened, open: () => open() };
};

for (const fault of ["loseAnswers", "lateWrites", "dropWrites"] as const) {
  test.serial(`a call runs once when each of its writes in turn is affected by ${fault}`, async (t) => {
    const system = await createTestSystem(t);
    const [first, second] = [system.open("h1"), system.open("h2")];
    for (const skip of [0, 1, 2]) {
      const key = `k${skip}`;
      const share = { skip, next: 1, delayMs: 300 };
      system.platform.setFaults({ [fault]: share }, { clients: ["h1"] });
      const result = await system.run(first, system.createCall(key));
      const repeated = await system.run(second, system.createCall(key));
      t.deepEqual([system.service.count(key), result.replayed, repeated.replayed], [
        1,
        false,
        true,
      ]);
      t.deepEqual(Buffer.from(repeated.body), Buffer.from(result.body));
    }
  });
}

test.serial("a call whose write of sending has an unknown outcome is not sent, and ends as not run", async (t) => {
  const system = await createTestSystem(t);
  const [first, second] = [system.open("h1", SHORT_WAIT), system.open("h2")];
  const lateWrites = { skip: 1, next: 12, delayMs: 700 };
  system.platform.setFaults({ lateWrites }, { clients: ["h1"] });
  const refused = await expectRefusal(system.run(first, system.createCall("k")));
  t.deepEqual(refused, { reason: "store_unavailable", ran: "not_run" });
  t.is(system.service.count("k"), 0);
  system.platform.setFaults({}, { clients: ["h1"] });
  // Without the background settlement the late write would leave the record in `sending` for ever.
  const endMs = Date.now() + 30_000;
  const stateOf = async () => (await second.status("w", "s", "k")).state;
  while (await stateOf() !== "not_run" && Date.now() < endMs) await sleep(20);
  t.is(await stateOf(), "not_run");
  await system.run(second, system.createCall("k"));
  t.deepEqual(system.service.requests("k"), ["r2"]);
});

test.serial("an owner that is resumed after its record in started was taken over sends nothing", async (t) => {
  const system = await createTestSystem(t);
  const [first, second] = [system.open("h1"), system.open("h2")];
  const [reached, wake] = [gate(), gate()];
  const call = system.createCall("k");
  const paused = system.run(first, {
    ...call,
    prepare: async (signal) => {
      reached.open();
      await wake.opened;
      return call.prepare(signal);
    },
  });
  await reached.opened;
  system.makeUnreachable("h1");
  const result = await system.run(second, system.createCall("k"));
  wake.open();
  t.true((await paused).replayed);
  t.false(result.replayed);
  t.deepEqual(system.service.requests("k"), ["r2"]);
});

test.serial("a call of a failed host stays unknown until a lookup or an operator settles it", async (t) => {
  const system = await createTestSystem(t);
  const [first, second] = [system.open("h1"), system.open("h2")];
  const never = gate();
  for (const key of ["sent", "lost", "negative"]) {
    const reached = gate();
    const send = async (fencing: number) => {
      if (key === "sent") system.service.execute(key, fencing, "r0");
      reached.open();
      await never.opened;
      throw new Error("Process is dead");
    };
    system.run(first, system.createCall(key, { send })).catch(() => {});
    await reached.opened;
  }
  t.deepEqual(await second.listUnknown(10), []);
  const alive = await expectRefusal(second.settle({ ...system.createCall("lost") }, "not_run"));
  t.is(alive.reason, "in_progress");
  system.makeUnreachable("h1");
  system.endedHosts.add("h1");
  const unknown = { reason: "outcome_unknown", ran: "unknown" };
  for (const key of ["sent", "lost"]) {
    t.deepEqual(await expectRefusal(system.run(second, system.createCall(key))), unknown);
  }
  const lookup = { resolution: "lookup" } as const;
  t.deepEqual(
    await expectRefusal(system.run(second, system.createCall("negative", lookup))),
    unknown,
  );
  t.is((await second.listUnknown(10)).length, 3);
  t.true((await system.run(second, system.createCall("sent", lookup))).replayed);
  t.is(system.service.count("sent"), 1);
  await second.settle(system.createCall("lost"), "not_run");
  t.false((await system.run(second, system.createCall("lost"))).replayed);
  await second.settle(system.createCall("negative"), "done");
  t.is((await second.status("w", "s", "negative")).result?.status, 200);
  t.deepEqual(await second.listUnknown(10), []);
  never.open();
});

test.serial("a raised fence prevents a delayed send of an earlier attempt from running", async (t) => {
  const system = await createTestSystem(t);
  const [first, second] = [system.open("h1"), system.open("h2")];
  const [reached, wake] = [gate(), gate()];
  const paused = system.run(
    first,
    system.createCall("k", {
      send: async (fencing) => {
        reached.open();
        await wake.opened;
        return system.service.execute("k", fencing, "r1");
      },
    }),
  );
  await reached.opened;
  system.endedHosts.add("h1");
  const fenced = system.createCall("k", { resolution: "fence" });
  t.false((await system.run(second, fenced)).replayed);
  wake.open();
  t.deepEqual(await expectRefusal(paused), { reason: "fenced", ran: "not_run" });
  t.deepEqual(system.service.requests("k"), [fenced.requestId]);
});

test.serial("resolution by fence finds the result of a call whose answer was lost", async (t) => {
  const system = await createTestSystem(t);
  const ledger = system.open("h1");
  const call = system.createCall("k", { resolution: "fence" });
  const send = (fencing: number) => {
    system.service.execute("k", fencing, call.requestId);
    return Promise.reject(new Error("Connection lost"));
  };
  const prepare = () => Promise.resolve({ send, abandon: () => {} });
  t.true((await system.run(ledger, { ...call, prepare })).replayed);
  t.is(system.service.count("k"), 1);
});

test.serial("concurrent calls with one key on several ledgers run once; another body is refused", async (t) => {
  const system = await createTestSystem(t);
  const ledgers = [system.open("h1"), system.open("h2"), system.open("h1b")];
  const results = await Promise.all(
    [...ledgers, ...ledgers].map((ledger) => system.run(ledger, system.createCall("k"))),
  );
  t.is(results.filter((result) => !result.replayed).length, 1);
  t.is(system.service.count("k"), 1);
  const other = system.run(ledgers[1]!, system.createCall("k", { bodyHash: "other" }));
  t.deepEqual(await expectRefusal(other), { reason: "key_reused", ran: "not_run" });
});

test.serial("while the store is down, calls are refused as not run, in every kind of outage", async (t) => {
  const system = await createTestSystem(t);
  const [ledger, other] = [system.open("h1", SHORT_WAIT), system.open("h2")];
  for (const outage of ["refuse", "reset", "silent"] as const) {
    system.platform.setFaults({ outage });
    const refused = await expectRefusal(system.run(ledger, system.createCall(outage)));
    t.deepEqual(refused, { reason: "store_unavailable", ran: "not_run" });
    t.is(system.service.count(outage), 0);
    system.platform.setFaults({});
    t.false((await system.run(other, system.createCall(outage))).replayed);
  }
});

test.serial("a deadline before the send means not run, an abort after it means unknown", async (t) => {
  const system = await createTestSystem(t);
  const ledger = system.open("h1");
  const prepare = () => new Promise<never>(() => {});
  const early = system.createCall("early", { remainingMs: 300, prepare });
  t.is((await expectRefusal(system.run(ledger, early))).ran, "not_run");
  const [reached, wake] = [gate(), gate()];
  const call = system.createCall("late", {
    send: async (fencing) => {
      reached.open();
      await wake.opened;
      return system.service.execute("late", fencing, "r");
    },
  });
  const caller = new AbortController();
  const late = expectRefusal(ledger.run(call, caller.signal));
  await reached.opened;
  caller.abort();
  t.is((await late).ran, "unknown");
  wake.open();
  // The answer that arrived after the abort was recorded, so a repeated call returns it.
  t.true((await system.run(ledger, system.createCall("late"))).replayed);
});

test.serial("a large result is replayed completely, and its record is deleted after a day", async (t) => {
  const system = await createTestSystem(t);
  const ledger = system.open("h1");
  const send = (fencing: number) =>
    Promise.resolve(system.service.execute("big", fencing, "r", 200_000));
  await system.run(ledger, system.createCall("big", { send }));
  system.advanceWall(23 * 3_600_000);
  await sleep(150);
  const repeated = await system.run(ledger, system.createCall("big"));
  t.deepEqual([repeated.replayed, repeated.body.length], [true, 200_000]);
  system.advanceWall(5 * 3_600_000);
  while ((await ledger.status("w", "s", "big")).state !== "absent") await sleep(20);
  t.is(system.service.count("big"), 1);
});

test.serial("under random faults each key runs at most once, and no call refused as not_run has run", async (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const system = await createTestSystem(t, seed);
    const generator = xoroshiro128plus(seed + 100);
    const random = () => uniformFloat64(generator);
    const ledgers = ["h1", "h2", "h3"].map((host) => system.open(host, SHORT_WAIT));
    system.platform.setFaults({
      loseAnswers: { probability: 0.15 },
      lateWrites: { probability: 0.1, delayMs: 250 },
      dropWrites: { probability: 0.05 },
      staleReads: { probability: 0.1, ageMs: 100 },
    });
    const notRun = new Set<string>();
    const requests = Array.from({ length: 60 }, async (_, index) => {
      await sleep(random() * 400);
      const key = `k${index % 15}`;
      const resolution = (["none", "lookup", "fence"] as const)[index % 3]!;
      const call = system.createCall(key, { resolution, remainingMs: 2_500 });
      const send = async (fencing: number) => {
        const chance = random();
        await sleep(random() * 60);
        if (chance < 0.1) throw Object.assign(new Error("Refused"), { ran: "not_run" });
        if (chance < 0.2) throw new Error("Lost before the service");
        const result = system.service.execute(key, fencing, call.requestId);
        if (chance < 0.3) throw new Error("Lost after the service");
        return result;
      };
      const prepare = () => Promise.resolve({ send, abandon: () => {} });
      try {
        const result = await system.run(ledgers[index % 3]!, { ...call, prepare });
        t.deepEqual(Buffer.from(result.body), Buffer.from(system.service.lookUp(key)!.body));
      } catch (err) {
        if (!(err instanceof CallError)) throw err;
        if (err.ran === "not_run") notRun.add(call.requestId);
      }
    });
    await Promise.all(requests);
    system.platform.setFaults({}, { reset: true });
    await Promise.all(ledgers.map((ledger) => ledger.stop()));
    for (let index = 0; index < 15; index++) {
      t.true(system.service.count(`k${index}`) <= 1, `seed ${seed}, key k${index}`);
      for (const id of system.service.requests(`k${index}`)) {
        t.false(notRun.has(id), `seed ${seed}`);
      }
    }
  }
});
