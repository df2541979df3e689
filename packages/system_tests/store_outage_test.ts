import test from "ava";
import { sleep } from "@jaypass/kernel";
import { findAnswerError, readEngineLogs } from "./answer_checks.ts";
import { TEST_SERVICE } from "./build_document.ts";
import { createCaller } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";
import type { System, SystemHost } from "./start_system.ts";

const TOKENS = 10;

/** Longer than the validity of a lease, so that no lease is valid any more. */
const OUTAGE_MS = 14_000;

/** Time for the address lists to expire, for the streams to end and for the store's timeouts. */
const STOP_BOUND_MS = 60_000;

const WORKSPACE = "school";

/** Finds the host that counts grants under a name with a tag, of which there must have been some. */
async function findGranter(system: System, name: string, tag: string): Promise<SystemHost> {
  for (const host of system.hosts) {
    const { counters } = await system.fetchStatus(host);
    const isGranter = Object.entries(counters).some(([counter, count]) =>
      counter.startsWith(name) && counter.includes(tag) && count > 0
    );
    if (isGranter) return host;
  }
  throw new Error(`No host has counted "${name}" of "${tag}"`);
}

test("model requests go on while the store is down, within half of the limits", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 2,
    services: 1,
    engine: { coldLimit: 4, warmLimit: 8, coldMs: 1_000 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller(WORKSPACE);
  t.teardown(() => caller.close());
  await sleep(2_000);
  t.true((await caller.call(system.hosts[0]!.url, "lookup", { timeoutMs: 5_000 })).isComplete);
  // What these hosts grant to lookups cannot be granted by others before the store is back.
  const granters = [
    await findGranter(system, "admission.granted", TEST_SERVICE),
    await findGranter(system, "quota.granted", WORKSPACE),
  ];
  await system.setFaults(system.platform.url, { faults: { outage: "silent" } });
  const endMs = performance.now() + OUTAGE_MS;
  let whole = 0;
  let late = 0;
  const work = async (n: number) => {
    for (let i = 0; performance.now() < endMs + 2_000; i++) {
      const prompt = `question ${n}.${i}`;
      const outcome = await caller.complete(system.hosts[n % 3]!.url, prompt, {
        maxTokens: TOKENS,
        timeoutMs: 5_000,
      });
      t.is(findAnswerError(outcome, prompt, TOKENS), undefined);
      if (!outcome.isComplete) t.is(outcome.error?.ran, "not_run", JSON.stringify(outcome.error));
      if (outcome.isComplete) whole++;
      if (outcome.isComplete && performance.now() > endMs) late++;
      await sleep(30);
    }
  };
  await Promise.all(Array.from({ length: 24 }, (_, n) => work(n)));
  t.true(whole > 100, `${whole} whole answers`);
  t.true(late > 0, "no answer after the leases had lapsed");
  const logs = await readEngineLogs(system);
  t.true(logs.every(({ highestConcurrency }) => highestConcurrency <= 8));
  t.deepEqual(logs.flatMap(({ crashes }) => crashes), []);

  // A graceful stop must end although the host list does not answer.
  const stopping = system.hosts.find((host) => !granters.includes(host))!;
  const staying = system.hosts.find((host) => host !== stopping)!;
  stopping.program.signal("SIGTERM");
  const exit = Promise.race([stopping.program.exited, sleep(STOP_BOUND_MS)]);
  t.is(await exit, 0, stopping.program.stderrTail());

  const idle = await caller.call(staying.url, "book", { key: "k", timeoutMs: 3_000 });
  t.deepEqual([idle.isComplete, idle.error?.ran], [false, "not_run"]);
  const lookup = await caller.call(staying.url, "lookup", { timeoutMs: 5_000 });
  t.true(lookup.isComplete, JSON.stringify(lookup.error));
});

test("idempotent calls go on when the coordinator of their pool stops while the store is down", async (t) => {
  const system = await startSystem({ hosts: 3, engines: 1, services: 1 });
  t.teardown(() => system.stop());
  const caller = createCaller(WORKSPACE);
  t.teardown(() => caller.close());
  t.true((await caller.call(system.hosts[0]!.url, "lookup", { timeoutMs: 5_000 })).isComplete);
  const stopping = await findGranter(system, "admission.granted", TEST_SERVICE);
  const staying = system.hosts.find((host) => host !== stopping)!;
  await system.setFaults(system.platform.url, { faults: { outage: "silent" } });
  await sleep(OUTAGE_MS);
  stopping.program.signal("SIGTERM");
  const exit = Promise.race([stopping.program.exited, sleep(STOP_BOUND_MS)]);
  t.is(await exit, 0, stopping.program.stderrTail());
  const lookup = await caller.call(staying.url, "lookup", { timeoutMs: 5_000 });
  t.true(lookup.isComplete, JSON.stringify(lookup.error));
});
