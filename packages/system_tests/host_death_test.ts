import test from "ava";
import { sleep } from "@jaypass/kernel";
import { findAnswerError, readEngineLogs } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import type { Caller, CallerOutcome } from "./create_caller.ts";
import { startSystem } from "./start_system.ts";

const TOKENS = 120;

/** Sends a prompt. `started` resolves at the first token, or when the request ends without one. */
function startCall(caller: Caller, url: string, prompt: string) {
  let run!: Promise<CallerOutcome>;
  const started = new Promise<void>((resolve) => {
    run = caller.complete(url, prompt, { maxTokens: TOKENS, onToken: () => resolve() })
      .finally(resolve);
  });
  return { run, started };
}

test("after an engine or a host is killed, every started request is answered or can be resumed", async (t) => {
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
    // The request id arrives with the first token; without it a caller cannot resume the answer.
    await Promise.all(calls.map(({ started }) => started));
    victim.signal("SIGKILL");
    const outcomes = await Promise.all(runs);
    for (const [i, outcome] of outcomes.entries()) {
      t.is(findAnswerError(outcome, prompts[i]!, TOKENS), undefined);
      if (outcome.isComplete) continue;
      // The host was killed, so the caller fetches the rest from another host by request id.
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
        outcomes.some(({ isComplete }) => !isComplete),
        "the killed host was not answering any request",
      );
    }
  }
  const logs = await readEngineLogs({ ...system, engines: system.engines.slice(1) });
  t.deepEqual(logs.map(({ heldTokens }) => heldTokens), [0, 0]);
});

test("a prompt whose host dies before the first token is answered when it is sent again", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 2,
    services: 1,
    // Prefill of 20,000 tokens takes longer than the test waits before it kills the host.
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

test("an answer that the engine completes after its host died can be fetched from another host", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 2,
    services: 1,
    speed: { prefillTokensPerSecond: 400_000, msPerOutputToken: 10 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  // The first answer shows that every pool has a coordinator.
  t.true((await caller.complete(system.hosts[0]!.url, "first", { maxTokens: 5 })).isComplete);
  const tokens = 2 * TOKENS;
  const run = caller.complete(system.hosts[0]!.url, "question", { maxTokens: tokens });
  await sleep(1_000);
  system.hosts[0]!.program.signal("SIGKILL");
  const outcome = await run;
  t.is(outcome.error?.reason, "connection_broken", JSON.stringify(outcome.error));
  // The engine needs less time than this to complete the answer.
  await sleep(4_000);
  const rest = await caller.resume(system.hosts[1]!.url, outcome.requestId!, outcome.tokens.length);
  t.true(rest.isComplete, JSON.stringify(rest.error));
  const whole = { ...rest, tokens: [...outcome.tokens, ...rest.tokens] };
  t.is(findAnswerError(whole, "question", tokens), undefined);
});
