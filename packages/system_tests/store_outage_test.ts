import test from "ava";
import { sleep } from "@jaypass/kernel";
import { findAnswerError, readEngineLogs } from "./answer_checks.ts";
import { TEST_SERVICE } from "./build_document.ts";
import { createCaller } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";
import type { System, SystemHost } from "./start_system.ts";

const TOKENS = 10;

/** Longer than a lease is valid, so that all leases have expired when the outage ends. */
const OUTAGE_MS = 14_000;

/** Allows for the expiry of address lists, the end of streams and the timeouts of store calls. */
const STOP_BOUND_MS = 60_000;

const WORKSPACE = "school";

/**
 * Finds the host that has granted requests, by its counters.
 *
 * @param system the running system
 * @param name beginning of the counter's name
 * @param tag text that the counter's tags contain
 * @throws when no host has counted such a grant
 */
async function findGrantingHost(system: System, name: string, tag: string): Promise<SystemHost> {
  for (const host of system.hosts) {
    const { counters } = await system.fetchStatus(host);
    const isGranter = Object.entries(counters).some(([counter, count]) =>
      counter.startsWith(name) && counter.includes(tag) && count > 0
    );
    if (isGranter) return host;
  }
  throw new Error(`No host has a counter "${name}" with tag "${tag}" above 0`);
}

test("while the store is down, model requests are served within the limits of the engines", async (t) => {
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
  // Only these hosts can grant lookups until the store is back, so neither of them is stopped below.
  const grantingHosts = [
    await findGrantingHost(system, "admission.granted", TEST_SERVICE),
    await findGrantingHost(system, "quota.granted", WORKSPACE),
  ];
  await system.setFaults(system.platform.url, { faults: { outage: "silent" } });
  const endMs = performance.now() + OUTAGE_MS;
  let completeAnswers = 0;
  let completeAfterExpiry = 0;
  const work = async (n: number) => {
    for (let i = 0; performance.now() < endMs + 2_000; i++) {
      const prompt = `question ${n}.${i}`;
      const outcome = await caller.complete(system.hosts[n % 3]!.url, prompt, {
        maxTokens: TOKENS,
        timeoutMs: 5_000,
      });
      t.is(findAnswerError(outcome, prompt, TOKENS), undefined);
      if (!outcome.isComplete) t.is(outcome.error?.ran, "not_run", JSON.stringify(outcome.error));
      if (outcome.isComplete) completeAnswers++;
      if (outcome.isComplete && performance.now() > endMs) completeAfterExpiry++;
      await sleep(30);
    }
  };
  await Promise.all(Array.from({ length: 24 }, (_, n) => work(n)));
  t.true(completeAnswers > 100, `only ${completeAnswers} complete answers`);
  t.true(completeAfterExpiry > 0, "no complete answer after the leases had expired");
  const logs = await readEngineLogs(system);
  t.true(logs.every(({ highestConcurrency }) => highestConcurrency <= 8));
  t.deepEqual(logs.flatMap(({ crashes }) => crashes), []);

  // A graceful stop must complete although the host list does not respond.
  const stopping = system.hosts.find((host) => !grantingHosts.includes(host))!;
  const staying = system.hosts.find((host) => host !== stopping)!;
  stopping.program.signal("SIGTERM");
  const exit = Promise.race([stopping.program.exited, sleep(STOP_BOUND_MS)]);
  t.is(await exit, 0, stopping.program.stderrTail());

  const bookingOutcome = await caller.call(staying.url, "book", { key: "k", timeoutMs: 3_000 });
  t.deepEqual([bookingOutcome.isComplete, bookingOutcome.error?.ran], [false, "not_run"]);
  const lookup = await caller.call(staying.url, "lookup", { timeoutMs: 5_000 });
  t.true(lookup.isComplete, JSON.stringify(lookup.error));
});

test("idempotent calls go on when the coordinator of their pool stops while the store is down", async (t) => {
  const system = await startSystem({ hosts: 3, engines: 1, services: 1 });
  t.teardown(() => system.stop());
  const caller = createCaller(WORKSPACE);
  t.teardown(() => caller.close());
  t.true((await caller.call(system.hosts[0]!.url, "lookup", { timeoutMs: 5_000 })).isComplete);
  const stopping = await findGrantingHost(system, "admission.granted", TEST_SERVICE);
  const staying = system.hosts.find((host) => host !== stopping)!;
  await system.setFaults(system.platform.url, { faults: { outage: "silent" } });
  await sleep(OUTAGE_MS);
  stopping.program.signal("SIGTERM");
  const exit = Promise.race([stopping.program.exited, sleep(STOP_BOUND_MS)]);
  t.is(await exit, 0, stopping.program.stderrTail());
  const lookup = await caller.call(staying.url, "lookup", { timeoutMs: 5_000 });
  t.true(lookup.isComplete, JSON.stringify(lookup.error));
});
