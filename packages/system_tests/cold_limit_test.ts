import test from "ava";
import { sleep } from "@jaypass/kernel";
import { findAnswerError, readEngineLogs } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

const TOKENS = 20;

test("a cold engine sees no more than its limit from all hosts together", async (t) => {
  const system = await startSystem({
    hosts: 6,
    engines: 2,
    services: 1,
    engine: { coldLimit: 4, warmLimit: 32, coldMs: 4_000 },
    speed: { prefillTokensPerSecond: 200_000, msPerOutputToken: 5 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  const run = async (i: number) => {
    const prompt = `question ${i}`;
    const url = system.hosts[i % 6]!.url;
    const outcome = await caller.complete(url, prompt, { maxTokens: TOKENS, timeoutMs: 20_000 });
    t.is(findAnswerError(outcome, prompt, TOKENS), undefined);
  };
  const burst = (count: number) => Promise.all(Array.from({ length: count }, (_, i) => run(i)));

  await burst(120);
  // After a crash the engine is cold again, while the other hosts still treat it as warm.
  await system.setFaults(system.engines[0]!.url, { crash: true });
  await Promise.all([burst(120), sleep(300).then(() => system.hosts[5]!.program.signal("SIGKILL"))])
    .catch(() => {});
  const logs = await readEngineLogs(system);
  t.deepEqual(logs.map(({ crashes }) => crashes.map(({ reason }) => reason)), [["fault"], []]);
  t.true(
    logs.every(({ highestWhileCold }) => highestWhileCold <= 4),
    JSON.stringify(logs.map(
      ({ highestWhileCold }) => highestWhileCold,
    )),
  );
});

test("an idle engine that restarts at once gets no more than its cold limit", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 1,
    services: 1,
    engine: { coldLimit: 4, warmLimit: 32, coldMs: 4_000 },
    engineOptions: { restartMs: 0 },
    speed: { prefillTokensPerSecond: 200_000, msPerOutputToken: 5 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  const burst = async (label: string, count: number) => {
    const outcomes = await Promise.all(Array.from({ length: count }, async (_, i) => {
      const prompt = `${label} ${i}`;
      const url = system.hosts[i % 3]!.url;
      const outcome = await caller.complete(url, prompt, { maxTokens: TOKENS, timeoutMs: 20_000 });
      return findAnswerError(outcome, prompt, TOKENS);
    }));
    t.deepEqual(outcomes, Array.from({ length: count }, () => undefined));
  };
  await burst("cold", 60);
  // The coordinator learns of a restart from its next poll, up to a second later.
  await system.setFaults(system.engines[0]!.url, { crash: true });
  await burst("after the restart", 60);
  const [log] = await readEngineLogs(system);
  t.deepEqual(log?.crashes.map(({ reason }) => reason), ["fault"]);
});
