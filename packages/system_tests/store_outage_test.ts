import test from "ava";
import { sleep } from "@jaypass/kernel";
import { findFault, readEngineLogs } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

const TOKENS = 10;

/** Longer than the validity of a lease, so that no lease is valid any more. */
const OUTAGE_MS = 14_000;

/** Time for the address lists to expire, for the streams to end and for the store's timeouts. */
const STOP_BOUND_MS = 60_000;

test("model requests go on while the store is down, within half of the limits", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 2,
    services: 1,
    engine: { coldLimit: 4, warmLimit: 8, coldMs: 1_000 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  await sleep(2_000);
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
      t.is(findFault(outcome, prompt, TOKENS), undefined);
      if (!outcome.isWhole) t.is(outcome.error?.ran, "not_run", JSON.stringify(outcome.error));
      if (outcome.isWhole) whole++;
      if (outcome.isWhole && performance.now() > endMs) late++;
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
  const stopping = system.hosts[2]!.program;
  stopping.signal("SIGTERM");
  t.is(await Promise.race([stopping.exited, sleep(STOP_BOUND_MS)]), 0, stopping.tail());

  const idle = await caller.call(system.hosts[1]!.url, "book", { key: "k", timeoutMs: 3_000 });
  t.deepEqual([idle.isWhole, idle.error?.ran], [false, "not_run"]);
  const lookup = await caller.call(system.hosts[1]!.url, "lookup", { timeoutMs: 5_000 });
  t.true(lookup.isWhole, JSON.stringify(lookup.error));
});
