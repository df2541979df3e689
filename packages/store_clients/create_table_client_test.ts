import test from "ava";
import { createClock, createMetrics, sleep } from "@jaypass/kernel";
import { createPlatformStandIn } from "@jaypass/stand_ins";
import type { PlatformStandIn, PlatformStandInOptions } from "@jaypass/stand_ins";
import { createTableClient, StoreError } from "./mod.ts";
import type { Transaction } from "./mod.ts";

type TestRunner = (
  body: (
    platform: PlatformStandIn,
    openClient: (client: string) => ReturnType<typeof createTableClient>,
    counters: () => Record<string, number>,
  ) => Promise<void>,
) => Promise<void>;

/** Runs a test against its own stand-in and closes everything afterwards. */
function withPlatform(options: PlatformStandInOptions = {}): TestRunner {
  return async (body) => {
    const platform = await createPlatformStandIn(options);
    const metrics = createMetrics({ tags: {} });
    const clients: ReturnType<typeof createTableClient>[] = [];
    try {
      await body(platform, (client) => {
        const random = Math.random;
        const table = createTableClient({
          baseUrl: platform.url,
          client,
          clock: createClock(),
          random,
          metrics,
        });
        clients.push(table);
        return table;
      }, metrics.counters);
    } finally {
      for (const client of clients) await client.close();
      await platform.stop();
    }
  };
}

const SHORT = { timeoutMs: 300 };
const LONG = { timeoutMs: 20_000 };
const put = (key: string, value: unknown, version = 0): Transaction => ({
  conditions: [{ table: "t", key, version }],
  writes: [{ table: "t", key, value }],
});

test("a commit applies all its writes or none, and a row's versions do not repeat after a delete", async (t) => {
  await withPlatform()(async (_platform, openClient) => {
    const table = openClient("h1");
    t.like(await table.commit(put("a", 1), LONG), { outcome: "done", versions: { "t/a": 1 } });
    const conditionalWrite = {
      conditions: put("a", 2).conditions,
      writes: [...put("b", 2).writes],
    };
    t.like(await table.commit(conditionalWrite, LONG), {
      outcome: "conflict",
      key: "a",
      version: 1,
    });
    t.is(await table.read("t", "b", LONG), undefined);
    t.like(await table.commit(put("a", null, 1), LONG), { versions: { "t/a": 0 } });
    // If versions started again after a delete, the condition of a delayed write to the deleted row
    // could match the new row.
    t.like(await table.commit(put("a", 3), LONG), { versions: { "t/a": 3 } });
    await table.commit(put("ab", 4), LONG);
    await table.commit(put("c", 5), LONG);
    t.deepEqual((await table.list("t", { ...LONG, prefix: "a" })).map((row) => row.key), [
      "a",
      "ab",
    ]);
    t.deepEqual(await table.list("t", { ...LONG, after: "a", limit: 1 }), [
      { key: "ab", value: 4, version: 1 },
    ]);
    t.deepEqual((await table.readMany("t", ["c", "x"], LONG)).map((row) => row.key), ["c"]);
  });
});

test("a write whose response is lost takes effect and has the outcome unknown", async (t) => {
  await withPlatform()(async (platform, openClient) => {
    const table = openClient("h1");
    platform.setFaults({ loseAnswers: { next: 1 } });
    t.is((await table.commit(put("a", 1), LONG)).outcome, "unknown");
    t.is((await table.read("t", "a", LONG))?.value, 1);
    platform.setFaults({ loseAnswers: { next: 1, silent: true } });
    t.is((await table.commit(put("b", 1), SHORT)).outcome, "unknown");
    t.is((await table.read("t", "b", LONG))?.value, 1);
  });
});

test("a delayed write has the outcome unknown, and its conditions are checked when it is applied", async (t) => {
  await withPlatform()(async (platform, openClient) => {
    const table = openClient("h1");
    platform.setFaults({ lateWrites: { next: 2, delayMs: 400 } });
    const outcomes = await Promise.all([
      table.commit(put("a", "late"), SHORT),
      table.commit(put("b", "late"), SHORT),
    ]);
    t.deepEqual(outcomes.map((result) => result.outcome), ["unknown", "unknown"]);
    await table.commit(put("a", "first"), LONG);
    while (await table.read("t", "b", LONG) === undefined) await sleep(20);
    t.is((await table.read("t", "a", LONG))?.value, "first");
  });
});

test("calls on unresponsive connections fail within the deadline, and the connections are replaced", async (t) => {
  await withPlatform()(async (platform, openClient, counters) => {
    const table = openClient("h1");
    await table.commit(put("a", 1), LONG);
    platform.setFaults({ outage: "silent" });
    const outcomes = await Promise.all([
      table.commit(put("b", 1), SHORT),
      table.commit(put("c", 1), SHORT),
    ]);
    t.deepEqual(outcomes.map((result) => result.outcome), ["unknown", "unknown"]);
    const err = await t.throwsAsync(table.read("t", "a", SHORT), { instanceOf: StoreError });
    t.is(err?.reason, "timeout");
    platform.setFaults({});
    t.is((await table.read("t", "a", LONG))?.value, 1);
    t.true((counters()["platform.connections_replaced{service=tables}"] ?? 0) >= 1);
    t.true((counters()["platform.retry{reason=timeout,service=tables}"] ?? 0) >= 1);
  });
});

test("a write that is refused in an outage or cannot be sent is not done, and other clients are unaffected", async (t) => {
  await withPlatform()(async (platform, openClient) => {
    const [affected, unaffected] = [openClient("h1"), openClient("h2")];
    platform.setFaults({ outage: "refuse" }, { clients: ["h1"] });
    t.is((await affected.commit(put("a", 1), LONG)).outcome, "not_done");
    t.is((await unaffected.commit(put("a", 2), LONG)).outcome, "done");
    await platform.stop();
    t.is((await unaffected.commit(put("b", 1), LONG)).outcome, "not_done");
  });
});

test("a write over the budget is refused and has the outcome not done", async (t) => {
  await withPlatform({ writesPerSecond: 1, readsPerSecond: 1 })(async (_platform, openClient) => {
    const table = openClient("h1");
    const outcomes = await Promise.all([1, 2, 3].map((n) => table.commit(put(`k${n}`, n), LONG)));
    t.true(outcomes.some((result) => result.outcome === "not_done"));
    t.true(outcomes.every((result) => result.outcome !== "unknown"));
  });
});

test("a read may return an earlier state of the table", async (t) => {
  await withPlatform()(async (platform, openClient) => {
    const table = openClient("h1");
    await table.commit(put("a", 1), LONG);
    platform.setFaults({ staleReads: { ageMs: 60_000 } });
    t.is(await table.read("t", "a", LONG), undefined);
  });
});

test("a read fails before its timeout when its signal is aborted", async (t) => {
  await withPlatform()(async (platform, openClient) => {
    platform.setFaults({ outage: "silent" });
    const signal = AbortSignal.timeout(50);
    const read = openClient("h1").read("t", "a", { ...LONG, signal });
    t.is((await t.throwsAsync(read, { instanceOf: StoreError }))?.reason, "aborted");
  });
});
