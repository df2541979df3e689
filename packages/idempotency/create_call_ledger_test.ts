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
/** Long enough for a slow machine; tests of an unreachable store shorten `storeWaitMs`. */
const timing = {
  ...LEDGER_TIMING,
  ...{ storeTimeoutMs: 500, storeWaitMs: 20_000, pollMs: 10, maxPollMs: 40, settleRetryMs: 50 },
  ...{ startedPatienceMs: 200, sendGraceMs: 20_000, cleanUpMs: 40 },
};
const SHORT_WAIT = { storeTimeoutMs: 150, storeWaitMs: 500 };

/** A service that counts executions and refuses fencing numbers below a raised fence. */
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

async function createWorld(t: ExecutionContext, seed = 1) {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const platform = await createPlatformStandIn({
    random,
    readsPerSecond: 1e6,
    writesPerSecond: 1e6,
  });
  const service = createService();
  const gone = new Set<string>();
  const ledgers = new Map<string, CallLedger>();
  const closers: (() => Promise<void>)[] = [];
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
      isHostGone: (owner) => gone.has(owner.host),
      askHost: ({ owner, ...query }) =>
        Promise.resolve(
          ledgers.get(owner.host)?.answerStatus({ owner, ...query }) ?? "unreachable",
        ),
    });
    ledgers.set(host, ledger);
    closers.push(async () => {
      await ledger.stop();
      await Promise.all([table.close(), objects.close()]);
    });
    return ledger;
  };
  const callOf = (key: string, changes: Partial<LedgerCall> & Partial<PreparedCall> = {}) => {
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
    await Promise.all(closers.map((close) => close()));
    await platform.stop();
  });
  return {
    ...{ platform, service, gone, open, callOf },
    run: (ledger: CallLedger, call: LedgerCall) => ledger.run(call, new AbortController().signal),
    /** A host that no longer answers; its process may still wake up. */
    silence: (host: string) => void ledgers.delete(host),
    advanceWall: (ms: number) => void (wallMs += ms),
  };
}

async function refusalOf(promise: Promise<unknown>): Promise<{ reason: string; ran: string }> {
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
  test.serial(`a call runs once when each of its writes meets ${fault}`, async (t) => {
    const world = await createWorld(t);
    const [first, second] = [world.open("h1"), world.open("h2")];
    for (const skip of [0, 1, 2]) {
      const key = `k${skip}`;
      const share = { skip, next: 1, delayMs: 300 };
      world.platform.setFaults({ [fault]: share }, { clients: ["h1"] });
      const result = await world.run(first, world.callOf(key));
      const repeated = await world.run(second, world.callOf(key));
      t.deepEqual([world.service.count(key), result.replayed, repeated.replayed], [1, false, true]);
      t.deepEqual(Buffer.from(repeated.body), Buffer.from(result.body));
    }
  });
}

test.serial("an unknown swap is never sent, and its late effect is ended as not run", async (t) => {
  const world = await createWorld(t);
  const [first, second] = [world.open("h1", SHORT_WAIT), world.open("h2")];
  const lateWrites = { skip: 1, next: 12, delayMs: 700 };
  world.platform.setFaults({ lateWrites }, { clients: ["h1"] });
  const refused = await refusalOf(world.run(first, world.callOf("k")));
  t.deepEqual(refused, { reason: "store_unavailable", ran: "not_run" });
  t.is(world.service.count("k"), 0);
  world.platform.setFaults({}, { clients: ["h1"] });
  // Without the settlement the late swap would leave the record in `sending` for good.
  const endMs = Date.now() + 30_000;
  const stateOf = async () => (await second.status("w", "s", "k")).state;
  while (await stateOf() !== "not_run" && Date.now() < endMs) await sleep(20);
  t.is(await stateOf(), "not_run");
  await world.run(second, world.callOf("k"));
  t.deepEqual(world.service.requests("k"), ["r2"]);
});

test.serial("a paused owner that wakes after a takeover from started sends nothing", async (t) => {
  const world = await createWorld(t);
  const [first, second] = [world.open("h1"), world.open("h2")];
  const [reached, wake] = [gate(), gate()];
  const call = world.callOf("k");
  const paused = world.run(first, {
    ...call,
    prepare: async (signal) => {
      reached.open();
      await wake.opened;
      return call.prepare(signal);
    },
  });
  await reached.opened;
  world.silence("h1");
  const result = await world.run(second, world.callOf("k"));
  wake.open();
  t.true((await paused).replayed);
  t.false(result.replayed);
  t.deepEqual(world.service.requests("k"), ["r2"]);
});

test.serial("a call of a dead host stays unknown until a lookup or an operator settles it", async (t) => {
  const world = await createWorld(t);
  const [first, second] = [world.open("h1"), world.open("h2")];
  const never = gate();
  for (const key of ["sent", "lost", "negative"]) {
    const reached = gate();
    const send = async (fencing: number) => {
      if (key === "sent") world.service.execute(key, fencing, "r0");
      reached.open();
      await never.opened;
      throw new Error("Process is dead");
    };
    world.run(first, world.callOf(key, { send })).catch(() => {});
    await reached.opened;
  }
  t.deepEqual(await second.listUnknown(10), []);
  const alive = await refusalOf(second.settle({ ...world.callOf("lost") }, "not_run"));
  t.is(alive.reason, "in_progress");
  world.silence("h1");
  world.gone.add("h1");
  const unknown = { reason: "outcome_unknown", ran: "unknown" };
  for (const key of ["sent", "lost"]) {
    t.deepEqual(await refusalOf(world.run(second, world.callOf(key))), unknown);
  }
  const lookup = { resolution: "lookup" } as const;
  t.deepEqual(await refusalOf(world.run(second, world.callOf("negative", lookup))), unknown);
  t.is((await second.listUnknown(10)).length, 3);
  t.true((await world.run(second, world.callOf("sent", lookup))).replayed);
  t.is(world.service.count("sent"), 1);
  await second.settle(world.callOf("lost"), "not_run");
  t.false((await world.run(second, world.callOf("lost"))).replayed);
  await second.settle(world.callOf("negative"), "done");
  t.is((await second.status("w", "s", "negative")).result?.status, 200);
  t.deepEqual(await second.listUnknown(10), []);
  never.open();
});

test.serial("a fence proves that an overtaken send never runs", async (t) => {
  const world = await createWorld(t);
  const [first, second] = [world.open("h1"), world.open("h2")];
  const [reached, wake] = [gate(), gate()];
  const paused = world.run(
    first,
    world.callOf("k", {
      send: async (fencing) => {
        reached.open();
        await wake.opened;
        return world.service.execute("k", fencing, "r1");
      },
    }),
  );
  await reached.opened;
  world.gone.add("h1");
  const fenced = world.callOf("k", { resolution: "fence" });
  t.false((await world.run(second, fenced)).replayed);
  wake.open();
  t.deepEqual(await refusalOf(paused), { reason: "fenced", ran: "not_run" });
  t.deepEqual(world.service.requests("k"), [fenced.requestId]);
});

test.serial("a fence finds a call that ran although its answer was lost", async (t) => {
  const world = await createWorld(t);
  const ledger = world.open("h1");
  const call = world.callOf("k", { resolution: "fence" });
  const send = (fencing: number) => {
    world.service.execute("k", fencing, call.requestId);
    return Promise.reject(new Error("Connection lost"));
  };
  const prepare = () => Promise.resolve({ send, abandon: () => {} });
  t.true((await world.run(ledger, { ...call, prepare })).replayed);
  t.is(world.service.count("k"), 1);
});

test.serial("the same key on two ledgers at once runs once; another body is refused", async (t) => {
  const world = await createWorld(t);
  const ledgers = [world.open("h1"), world.open("h2"), world.open("h1b")];
  const results = await Promise.all(
    [...ledgers, ...ledgers].map((ledger) => world.run(ledger, world.callOf("k"))),
  );
  t.is(results.filter((result) => !result.replayed).length, 1);
  t.is(world.service.count("k"), 1);
  const other = world.run(ledgers[1]!, world.callOf("k", { bodyHash: "other" }));
  t.deepEqual(await refusalOf(other), { reason: "key_reused", ran: "not_run" });
});

test.serial("while the store is down calls are refused as not run, whichever way it fails", async (t) => {
  const world = await createWorld(t);
  const [ledger, other] = [world.open("h1", SHORT_WAIT), world.open("h2")];
  for (const outage of ["refuse", "reset", "silent"] as const) {
    world.platform.setFaults({ outage });
    const refused = await refusalOf(world.run(ledger, world.callOf(outage)));
    t.deepEqual(refused, { reason: "store_unavailable", ran: "not_run" });
    t.is(world.service.count(outage), 0);
    world.platform.setFaults({});
    t.false((await world.run(other, world.callOf(outage))).replayed);
  }
});

test.serial("a deadline before the send means not run, an end after it means unknown", async (t) => {
  const world = await createWorld(t);
  const ledger = world.open("h1");
  const prepare = () => new Promise<never>(() => {});
  const early = world.callOf("early", { remainingMs: 300, prepare });
  t.is((await refusalOf(world.run(ledger, early))).ran, "not_run");
  const [reached, wake] = [gate(), gate()];
  const call = world.callOf("late", {
    send: async (fencing) => {
      reached.open();
      await wake.opened;
      return world.service.execute("late", fencing, "r");
    },
  });
  const left = new AbortController();
  const late = refusalOf(ledger.run(call, left.signal));
  await reached.opened;
  left.abort();
  t.is((await late).ran, "unknown");
  wake.open();
  // The answer that came after the deadline is recorded, so a repeat gets it.
  t.true((await world.run(ledger, world.callOf("late"))).replayed);
});

test.serial("large results come back whole and old records are deleted after a day", async (t) => {
  const world = await createWorld(t);
  const ledger = world.open("h1");
  const send = (fencing: number) =>
    Promise.resolve(world.service.execute("big", fencing, "r", 200_000));
  await world.run(ledger, world.callOf("big", { send }));
  world.advanceWall(23 * 3_600_000);
  await sleep(150);
  const repeated = await world.run(ledger, world.callOf("big"));
  t.deepEqual([repeated.replayed, repeated.body.length], [true, 200_000]);
  world.advanceWall(5 * 3_600_000);
  while ((await ledger.status("w", "s", "big")).state !== "absent") await sleep(20);
  t.is(world.service.count("big"), 1);
});

test.serial("random schedules of faults run each key at most once and keep each not_run true", async (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const world = await createWorld(t, seed);
    const generator = xoroshiro128plus(seed + 100);
    const random = () => uniformFloat64(generator);
    const ledgers = ["h1", "h2", "h3"].map((host) => world.open(host, SHORT_WAIT));
    world.platform.setFaults({
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
      const call = world.callOf(key, { resolution, remainingMs: 2_500 });
      const send = async (fencing: number) => {
        const chance = random();
        await sleep(random() * 60);
        if (chance < 0.1) throw Object.assign(new Error("Refused"), { ran: "not_run" });
        if (chance < 0.2) throw new Error("Lost before the service");
        const result = world.service.execute(key, fencing, call.requestId);
        if (chance < 0.3) throw new Error("Lost after the service");
        return result;
      };
      const prepare = () => Promise.resolve({ send, abandon: () => {} });
      try {
        const result = await world.run(ledgers[index % 3]!, { ...call, prepare });
        t.deepEqual(Buffer.from(result.body), Buffer.from(world.service.lookUp(key)!.body));
      } catch (err) {
        if (!(err instanceof CallError)) throw err;
        if (err.ran === "not_run") notRun.add(call.requestId);
      }
    });
    await Promise.all(requests);
    world.platform.setFaults({}, { reset: true });
    await Promise.all(ledgers.map((ledger) => ledger.stop()));
    for (let index = 0; index < 15; index++) {
      t.true(world.service.count(`k${index}`) <= 1, `seed ${seed}, key k${index}`);
      for (const id of world.service.requests(`k${index}`)) t.false(notRun.has(id), `seed ${seed}`);
    }
  }
});
