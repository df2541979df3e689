import test from "ava";
import type { ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { createEngineStandIn, createServiceStandIn } from "./mod.ts";
import type { EngineStandInOptions } from "./mod.ts";

async function start(t: ExecutionContext, options: EngineStandInOptions) {
  const engine = await createEngineStandIn({ timeScale: 10, restartMs: 100, ...options });
  t.teardown(() => engine.stop());
  const complete = async (requestId: string, changes: object = {}) => {
    const req = { requestId, model: "default", prompt: requestId, maxTokens: 5, priority: 0 };
    const body = JSON.stringify({ ...req, fencing: 1, ...changes });
    try {
      const res = await fetch(`${engine.url}/v1/complete`, { method: "POST", body });
      return await res.text();
    } catch {
      return "broken";
    }
  };
  return { engine, complete };
}

async function waitUntil(condition: () => boolean) {
  while (!condition()) await delay(5);
}

test("a cold engine crashes and loses all requests when they exceed its cold limit", async (t) => {
  const { engine, complete } = await start(t, {
    coldMs: 600_000,
    coldLimit: 2,
    msPerOutputToken: 5_000,
  });
  const first = ["a", "b"].map((id) => complete(id));
  await waitUntil(() => engine.log().acceptedTotal === 2);
  t.is(engine.log().crashes.length, 0);
  t.is(await complete("c"), "broken");
  await Promise.all(first);
  const log = engine.log();
  t.deepEqual(log.crashes.map(({ reason, requestIds }) => [reason, requestIds]), [
    ["cold_limit", ["a", "b", "c"]],
  ]);
  t.deepEqual([log.restartCount, log.cold, log.highestWhileCold, log.heldTokens], [1, true, 3, 0]);
  t.deepEqual(log.accepted.map((record) => record.outcome), ["lost", "lost", "lost"]);
});

test("an engine listens on the same port again after a crash", async (t) => {
  const { engine, complete } = await start(t, { coldMs: 0 });
  engine.setFaults({ crash: true });
  let answer = "broken";
  while (answer === "broken") answer = await complete("again");
  t.regex(answer, /"restartCount":1[^]*"type":"end"/);
});

test("an engine crashes when it runs a prompt with the poison marker", async (t) => {
  const { engine, complete } = await start(t, { coldMs: 0 });
  engine.setFaults({ poisonMarker: "POISON" });
  t.notRegex(await complete("p", { prompt: "has POISON in it" }), /"end"/);
  t.is(engine.log().crashes[0]?.reason, "poison");
});

test("the prefill of a request with a higher priority overtakes that of a long one", async (t) => {
  const options = { coldMs: 0, prefillTokensPerSecond: 2_000, memoryTokens: 100_000 };
  const { engine, complete } = await start(t, options);
  const long = complete("long", { prompt: "x".repeat(4 * 20_000), priority: 2 });
  await waitUntil(() => engine.log().running === 1);
  const short = complete("short", { prompt: "y".repeat(4 * 1_000), priority: 0 });
  await Promise.all([long, short]);
  const [longRecord, shortRecord] = engine.log().accepted;
  t.true((shortRecord?.firstTokenMs ?? Infinity) < (longRecord?.firstTokenMs ?? 0));
});

test("memory is never exceeded, because requests wait and idle cached blocks are evicted", async (t) => {
  const { engine, complete } = await start(t, { coldMs: 0, memoryTokens: 8_192, coldLimit: 99 });
  const answers = await Promise.all(
    Array.from({ length: 6 }, (_, n) => complete(`r${n}`, { prompt: `${n}`.repeat(4 * 5_000) })),
  );
  t.true(answers.every((answer) => answer.includes('"end"')));
  t.true(engine.log().highestUsedTokens <= 8_192);
  t.is(engine.log().heldTokens, 0);
});

test("a load report shows a past state, and lost cache events leave gaps in the sequence", async (t) => {
  const options = { coldMs: 0, loadLagMs: 600_000, cacheEventLagMs: 0 };
  const { engine, complete } = await start(t, options);
  engine.setFaults({ cacheEventLossEvery: 2 });
  await complete("r", { prompt: "x".repeat(4 * 4_096) });
  const load = await (await fetch(`${engine.url}/v1/load`)).json();
  t.is((load as { usedTokens: number }).usedTokens, 0);
  t.true(engine.log().usedTokens > 0);
  const { events } = await (await fetch(`${engine.url}/v1/cache-events?after=0`)).json() as {
    events: { seq: number }[];
  };
  t.deepEqual(events.map((event) => event.seq), [1, 3]);
});

test("a warm server becomes cold by a fault that load reports do not show", async (t) => {
  const server = await createServiceStandIn({ coldMs: 0, coldLimit: 1, serviceMs: 5_000 });
  t.teardown(() => server.stop());
  const call = (id: string) =>
    fetch(`${server.url}/v1/operations/book`, { method: "POST", headers: { "x-request-id": id } })
      .then((res) => res.status, () => "broken");
  const first = call("a");
  await waitUntil(() => server.log().running === 1);
  server.setFaults({ turnCold: { forMs: 600_000, reported: false } });
  t.is(await call("b"), "broken");
  t.is(await first, "broken");
  t.deepEqual(server.log().effects, {});
  t.is(server.log().crashes[0]?.reason, "cold_limit");
});
