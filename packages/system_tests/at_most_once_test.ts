import test from "ava";
import { sleep } from "@jaypass/kernel";
import { countEffects } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import type { CallerOutcome } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

test("a non-idempotent call runs at most once despite concurrent duplicates, lost answers, a killed host and a store outage", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 1,
    services: 2,
    serviceOptions: { serviceMs: 300 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  const urls = system.hosts.map((host) => host.url);
  const book = (host: number, key: string, body = '{"spot":7}') =>
    caller.call(urls[host]!, "book", { key, body, timeoutMs: 10_000 });
  const recorded: { key: string; outcome: CallerOutcome }[] = [];
  const record = (key: string, outcomes: CallerOutcome[]) =>
    recorded.push(...outcomes.map((outcome) => ({ key, outcome })));

  const duplicates = await Promise.all([book(0, "twin"), book(1, "twin"), book(2, "twin")]);
  record("twin", duplicates);
  t.true(
    duplicates.every(({ isComplete, body }) => isComplete && body === duplicates[0]!.body),
  );

  const other = await book(1, "twin", '{"spot":8}');
  t.deepEqual([other.status, other.error?.reason, other.error?.ran], [
    422,
    "key_reused",
    "not_run",
  ]);

  const lostAnswers = { faults: { loseAnswers: { probability: 0.5 } } };
  await system.setFaults(system.platform.url, lostAnswers);
  const keys = Array.from({ length: 8 }, (_, i) => `lost answer ${i}`);
  await Promise.all(keys.map(async (key, i) => record(key, [await book(i % 3, key)])));
  await system.setFaults(system.platform.url, { reset: true });

  await system.setFaults(system.platform.url, { faults: { outage: "silent" } });
  const refused = await book(1, "during outage");
  record("during outage", [refused]);
  t.deepEqual([refused.error?.reason, refused.error?.ran], ["store_unavailable", "not_run"]);
  await system.setFaults(system.platform.url, { reset: true });
  const retried = await book(2, "during outage");
  record("during outage", [retried]);
  t.true(retried.isComplete, JSON.stringify(retried.error));

  const killedHostKeys = Array.from({ length: 6 }, (_, i) => `killed host ${i}`);
  const running = killedHostKeys.map((key) => book(0, key));
  await sleep(200);
  system.hosts[0]!.program.signal("SIGKILL");
  await Promise.all(running);
  for (const key of killedHostKeys) record(key, [await book(1, key), await book(2, key)]);

  const effects = await countEffects(system);
  const runs = (key: string) => effects.get(`school/${key}`) ?? 0;
  for (const { key, outcome } of recorded) {
    t.true(runs(key) <= 1, `"${key}" ran ${runs(key)} times`);
    if (outcome.isComplete) t.is(runs(key), 1, `"${key}" was confirmed but did not run`);
    else t.truthy(outcome.error?.ran, `"${key}" ended without saying whether it ran`);
  }
});
