import test from "ava";
import { EXIT_CODE } from "@jaypass/cli";
import type { QuarantineResponse } from "@jaypass/configuration";
import { findAnswerError, readEngineLogs } from "./answer_checks.ts";
import { createCaller } from "./create_caller.ts";
import { runOperatorCommand } from "./run_operator_command.ts";
import { startSystem } from "./start_system.ts";

const TOKENS = 30;
const POISON = "%poison%";

test("a request that crashes engines is quarantined after at most two crashes, even when it is resent through other hosts", async (t) => {
  const system = await startSystem({
    hosts: 3,
    engines: 4,
    services: 1,
    dataCentres: ["gent", "brussel"],
    speed: { prefillTokensPerSecond: 400_000, msPerOutputToken: 10 },
  });
  t.teardown(() => system.stop());
  const caller = createCaller("school");
  t.teardown(() => caller.close());
  for (const engine of system.engines) {
    await system.setFaults(engine.url, { poisonMarker: POISON });
  }
  const harmlessRequests = Array.from({ length: 16 }, async (_, i) => {
    const prompt = `innocent ${i}`;
    const outcome = await caller.complete(system.hosts[i % 3]!.url, prompt, {
      maxTokens: TOKENS,
      timeoutMs: 25_000,
    });
    t.is(findAnswerError(outcome, prompt, TOKENS), undefined);
    return outcome;
  });
  const resend = async (host: number) => {
    const reasons: (string | undefined)[] = [];
    for (let i = 0; i < 4; i++) {
      const url = system.hosts[(host + i) % 3]!.url;
      const outcome = await caller.complete(url, `What is ${POISON}?`, { maxTokens: TOKENS });
      t.false(outcome.isComplete);
      reasons.push(outcome.error?.reason);
    }
    return reasons;
  };
  const reasons = await Promise.all([resend(0), resend(1)]);
  const outcomes = await Promise.all(harmlessRequests);
  const crashes = (await readEngineLogs(system)).flatMap((log) => log.crashes);
  t.true(crashes.length <= 2, JSON.stringify(crashes));
  t.true(reasons.every((list) => list.at(-1) === "quarantined"), JSON.stringify(reasons));
  const listed = await runOperatorCommand(system, ["quarantine", "list", "--json"]);
  const { entries } = JSON.parse(listed.output) as QuarantineResponse;
  t.is(entries.length, 1);
  const table = await runOperatorCommand(system, ["quarantine", "list"]);
  t.is(table.code, EXIT_CODE.OK, table.errors);
  t.true(entries[0]!.sinceMs <= Date.now() && entries[0]!.expiresInMs > 0);
  const failed = outcomes.filter(({ isComplete }) => !isComplete).map(({ error }) => error);
  t.deepEqual(failed, []);
});
