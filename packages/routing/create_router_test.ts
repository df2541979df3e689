import test from "ava";
import { AdmissionRefusedError } from "@jaypass/admission";
import { createDeadline } from "@jaypass/kernel";
import { createTestRouter, MAX_TOKENS, runRequest } from "./_testing/create_test_router.ts";

test("an engine that dies mid-stream is replaced without repeated or missing tokens", async (t) => {
  const system = createTestRouter([{ fail: "died", afterTokens: 2 }]);
  const caller = await runRequest(system);
  const { sent, released, cancelled, counters } = system.trace;
  const outcomes = released.map(({ server, outcome }) => `${server} ${outcome}`);
  t.snapshot({ caller, sent, outcomes, cancelled, counters });
  t.deepEqual(system.trace.acquired[1]?.exclude, ["engine-0"]);
});

test("a silent connection is replaced and the stream resumed on the same engine", async (t) => {
  const system = createTestRouter([{ fail: "silent", afterTokens: 3 }]);
  const caller = await runRequest(system);
  t.snapshot({ caller, sent: system.trace.sent, acquired: system.trace.acquired.length });
});

test("an engine that stays silent is left and its memory cancelled", async (t) => {
  const system = createTestRouter([
    { fail: "silent", afterTokens: 1 },
    { fail: "silent", afterTokens: 0 },
  ]);
  const caller = await runRequest(system);
  t.snapshot({ caller, sent: system.trace.sent, cancelled: system.trace.cancelled });
});

test("a refused admission says that nothing ran", async (t) => {
  const refuse = new AdmissionRefusedError("deadline_unreachable", "First token takes 9 s");
  const system = createTestRouter([], { refuse });
  t.deepEqual(await runRequest(system), { tokens: [], outcome: "deadline_unreachable not_run" });
});

test("a grant whose dispatch window has passed is never sent", async (t) => {
  const system = createTestRouter([], { expireFirstGrant: true });
  const caller = await runRequest(system);
  t.is(caller.outcome, "whole");
  t.deepEqual(system.trace.sent.map(({ server }) => server), ["engine-1"]);
  t.is(system.trace.released[0]?.outcome, "not_dispatched");
});

test("attempts are bounded and the failure does not claim that nothing ran", async (t) => {
  const system = createTestRouter(
    Array.from({ length: 10 }, () => ({ fail: "died" as const, afterTokens: 0 })),
  );
  const caller = await runRequest(system);
  t.deepEqual(caller, { tokens: [], outcome: "engine_failed ran" });
  t.is(system.trace.sent.length, 4);
});

test("nothing is answered after the deadline and the engine's memory is freed", async (t) => {
  const system = createTestRouter([{ hang: true, afterTokens: 1 }]);
  const caller = await runRequest(system, 100);
  t.deepEqual(caller.outcome, "deadline_passed ran");
  t.deepEqual(system.trace.cancelled, ["engine-0 attempt 0"]);
  t.is(system.trace.released[0]?.outcome, "cancelled");
});

test("a request whose caller does not come back is cancelled on its engine", async (t) => {
  const system = createTestRouter([{ hang: true, afterTokens: 1 }], { resumeGraceMs: 50 });
  const answer = system.router.complete({
    requestId: "h1~0~1",
    workspace: "school",
    model: "lore-1",
    prompt: "Is there milk?",
    maxTokens: MAX_TOKENS,
    deadline: createDeadline(60_000, { clock: system.clock }),
    firstTokenMs: 1_000,
  });
  await system.router.drain();
  t.is(answer.failure?.reason, "caller_gone");
  t.deepEqual(system.trace.cancelled, ["engine-0 attempt 0"]);
});

test("an answer is not known to another workspace", async (t) => {
  const system = createTestRouter([]);
  await runRequest(system);
  const options = { workspace: "scouts", from: 0, signal: new AbortController().signal };
  t.throws(() => system.router.follow("h1~0~1", options), { message: /is not known/ });
});
