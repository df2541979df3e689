import test from "ava";
import { sleep } from "@jaypass/kernel";
import { findAnswerError, readEngineLogs } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import type { Caller, CallerOutcome } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

const TOKENS = 120;

/** Sends a prompt; `begun` is settled by its first token, or by its end. */
function startCall(caller: Caller, url: string, prompt: string) {
  let run!: Promise<CallerOutcome>;
  const begun = new Promise<void>((resolve) => {
    run = caller.complete(url, prompt, { maxTokens: TOKENS, onToken: () => resolve() })
      .finally(resolve);
  });
  return { run, begun };
}

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
    const calls = prompts.map((prompt, i) => startCall(caller, system.hosts[i % 3]!.url, prompt));
    const runs = calls.map(({ run }) => run);
    // The first token brings the request id, without which a caller cannot ask for the rest.
    await Promise.all(calls.map(({ begun }) => begun));
    victim.signal("SIGKILL");
    const outcomes = await Promise.all(runs);
    for (const [i, outcome] of outcomes.entries()) {
      t.is(findAnswerError(outcome, prompts[i]!, TOKENS), undefined);
      if (outcome.isComplete) continue;
      // The connection broke with its host: the rest comes from another one by request id.
      t.is(outcome.error?.reason, "connection_broken", JSON.stringify(outcome.error));
      t.truthy(outcome.requestId);
      const from = outcome.tokens.length;
      const rest = await caller.resume(system.hosts[1]!.url, outcome.requestId!, from);
      t.true(rest.isComplete, JSON.stringify(rest.error));
      const whole = { ...rest, tokens: [...outcome.tokens, ...rest.tokens] };
      t.is(findAnswerError(whole, prompts[i]!, TOKENS), undefined);
    }
    if (victim === system.hosts[0]!.program) {
      t.true(
        outcomes.some(({ isComplete: isWhole }) => !isWhole),
        "no answer was under way at the dead host",
      );
    }
  }
  const logs = await readEngineLogs({ ...system, engines: system.engines.slice(1) });
  t.deepEqual(logs.map(({ heldTokens }) => heldTokens), [0, 0]);
});

test("a prompt whose host dies before its first token is answered when it is sent again", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 2,
    services: 1,
    // A prompt of 20,000 tokens is read for longer than the test waits before the kill.
    speed: { prefillTokensPerSecond: 4_000, msPerOutputToken: 10 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  t.true((await caller.complete(system.hosts[0]!.url, "first", { maxTokens: 5 })).isComplete);
  const prompt = "word ".repeat(20_000);
  const run = caller.complete(system.hosts[0]!.url, prompt, { maxTokens: 5 });
  await sleep(500);
  system.hosts[0]!.program.signal("SIGKILL");
  const outcome = await run;
  t.is(outcome.error?.reason, "connection_broken", JSON.stringify(outcome.error));
  t.deepEqual([outcome.requestId, outcome.tokens], [undefined, []]);
  const again = await caller.complete(system.hosts[1]!.url, prompt, { maxTokens: 5 });
  t.true(again.isComplete, JSON.stringify(again.error));
  t.is(findAnswerError(again, prompt, 5), undefined);
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
  t.true((await caller.complete(system.hosts[0]!.url, "first", { maxTokens: 5 })).isComplete);
  const tokens = 2 * TOKENS;
  const run = caller.complete(system.hosts[0]!.url, "question", { maxTokens: tokens });
  await sleep(1_000);
  system.hosts[0]!.program.signal("SIGKILL");
  const outcome = await run;
  t.is(outcome.error?.reason, "connection_broken", JSON.stringify(outcome.error));
  // Longer than the engine takes for the rest.
  await sleep(4_000);
  const rest = await caller.resume(system.hosts[1]!.url, outcome.requestId!, outcome.tokens.length);
  t.true(rest.isComplete, JSON.stringify(rest.error));
  const whole = { ...rest, tokens: [...outcome.tokens, ...rest.tokens] };
  t.is(findAnswerError(whole, "question", tokens), undefined);
});
