import test from "ava";
import { sleep } from "@jaypass/kernel";
import { findFault, readEngineLogs } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

const TOKENS = 120;

test("killing any one process of the system loses no admitted request without an answer", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 3,
    services: 1,
    speed: { prefillTokensPerSecond: 400_000, msPerOutputToken: 10 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  const victims = [system.engines[0]!.program, system.hosts[0]!.program];

  for (const victim of victims) {
    const prompts = Array.from({ length: 12 }, (_, i) => `${victim.pid}: question ${i}`);
    const runs = prompts.map((prompt, i) =>
      caller.complete(system.hosts[i % 3]!.url, prompt, { maxTokens: TOKENS })
    );
    await sleep(400);
    victim.signal("SIGKILL");
    const outcomes = await Promise.all(runs);
    for (const [i, outcome] of outcomes.entries()) {
      t.is(findFault(outcome, prompts[i]!, TOKENS), undefined);
      if (outcome.isWhole) continue;
      // The connection broke with its host: the rest comes from another one by request id.
      t.is(outcome.error?.reason, "connection_broken", JSON.stringify(outcome.error));
      t.truthy(outcome.requestId);
      const from = outcome.tokens.length;
      const rest = await caller.resume(system.hosts[1]!.url, outcome.requestId!, from);
      t.true(rest.isWhole, JSON.stringify(rest.error));
      const whole = { ...rest, tokens: [...outcome.tokens, ...rest.tokens] };
      t.is(findFault(whole, prompts[i]!, TOKENS), undefined);
    }
  }
  const logs = await readEngineLogs({ ...system, engines: system.engines.slice(1) });
  t.deepEqual(logs.map(({ heldTokens }) => heldTokens), [0, 0]);
});

test("an answer that its engine ended after its host died is still to be had elsewhere", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 2,
    services: 1,
    speed: { prefillTokensPerSecond: 400_000, msPerOutputToken: 10 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  // The first answer shows that the pools have their coordinators.
  t.true((await caller.complete(system.hosts[0]!.url, "first", { maxTokens: 5 })).isWhole);
  const tokens = 2 * TOKENS;
  const run = caller.complete(system.hosts[0]!.url, "question", { maxTokens: tokens });
  await sleep(1_000);
  system.hosts[0]!.program.signal("SIGKILL");
  const outcome = await run;
  t.is(outcome.error?.reason, "connection_broken", JSON.stringify(outcome.error));
  // Longer than the engine takes for the rest.
  await sleep(4_000);
  const rest = await caller.resume(system.hosts[1]!.url, outcome.requestId!, outcome.tokens.length);
  t.true(rest.isWhole, JSON.stringify(rest.error));
  const whole = { ...rest, tokens: [...outcome.tokens, ...rest.tokens] };
  t.is(findFault(whole, "question", tokens), undefined);
});
