import test from "ava";
import { AdmissionRefusedError } from "@jaypass/admission";
import { createDeadline } from "@jaypass/kernel";
import { createTestRouter, MAX_TOKENS, runRequest } from "./_testing/create_test_router.ts";

test("a stream whose engine dies continues on another one without repeated or missing tokens", async (t) => {
  const testRouter = createTestRouter([{ fail: "died", afterTokens: 2 }]);
  const caller = await runRequest(testRouter);
  const { sent, released, cancelled, counters } = testRouter.trace;
  const outcomes = released.map(({ server, outcome }) => `${server} ${outcome}`);
  t.snapshot({ caller, sent, outcomes, cancelled, counters });
  t.deepEqual(testRouter.trace.acquired[1]?.exclude, ["engine-0"]);
});

test("a stream is resumed on the same engine after its connection went silent", async (t) => {
  const testRouter = createTestRouter([{ fail: "silent", afterTokens: 3 }]);
  const caller = await runRequest(testRouter);
  t.snapshot({ caller, sent: testRouter.trace.sent, acquired: testRouter.trace.acquired.length });
});

test("an engine that stays silent is replaced and its attempt is cancelled", async (t) => {
  const testRouter = createTestRouter([
    { fail: "silent", afterTokens: 1 },
    { fail: "silent", afterTokens: 0 },
  ]);
  const caller = await runRequest(testRouter);
  t.snapshot({ caller, sent: testRouter.trace.sent, cancelled: testRouter.trace.cancelled });
});

test("a request that admission refuses is reported as not run", async (t) => {
  const refuse = new AdmissionRefusedError("deadline_unreachable", "First token takes 9 s");
  const testRouter = createTestRouter([], { refuse });
  t.deepEqual(await runRequest(testRouter), {
    tokens: [],
    outcome: "deadline_unreachable not_run",
  });
});

test("an attempt whose dispatch window has passed is not sent", async (t) => {
  const testRouter = createTestRouter([], { expireFirstGrant: true });
  const caller = await runRequest(testRouter);
  t.is(caller.outcome, "whole");
  t.deepEqual(testRouter.trace.sent.map(({ server }) => server), ["engine-1"]);
  t.is(testRouter.trace.released[0]?.outcome, "not_dispatched");
});

test("a request fails after the maximum number of attempts and is reported as run", async (t) => {
  const testRouter = createTestRouter(
    Array.from({ length: 10 }, () => ({ fail: "died" as const, afterTokens: 0 })),
  );
  const caller = await runRequest(testRouter);
  t.deepEqual(caller, { tokens: [], outcome: "engine_failed ran" });
  t.is(testRouter.trace.sent.length, 4);
  // The last failure is not followed by a retry and must not use the retry budget.
  t.is(testRouter.trace.counters["retry server_died"], 3);
});

test("a request fails at its deadline and is cancelled on its engine", async (t) => {
  const testRouter = createTestRouter([{ hang: true, afterTokens: 1 }]);
  const caller = await runRequest(testRouter, 100);
  t.deepEqual(caller.outcome, "deadline_passed ran");
  t.deepEqual(testRouter.trace.cancelled, ["engine-0 attempt 0"]);
  t.is(testRouter.trace.released[0]?.outcome, "cancelled");
});

test("a request whose caller does not reconnect is cancelled on its engine", async (t) => {
  const testRouter = createTestRouter([{ hang: true, afterTokens: 1 }], { resumeGraceMs: 50 });
  const answer = testRouter.router.complete({
    requestId: "h1~0~1",
    workspace: "school",
    model: "lore-1",
    prompt: "Is there milk?",
    maxTokens: MAX_TOKENS,
    deadline: createDeadline(60_000, { clock: testRouter.clock }),
    firstTokenMs: 1_000,
  });
  await testRouter.router.drain();
  t.is(answer.failure?.reason, "caller_gone");
  t.deepEqual(testRouter.trace.cancelled, ["engine-0 attempt 0"]);
});

test("an answer is unknown to other workspaces", async (t) => {
  const testRouter = createTestRouter([]);
  await runRequest(testRouter);
  const options = { workspace: "scouts", from: 0, signal: new AbortController().signal };
  t.throws(() => testRouter.router.follow("h1~0~1", options), { message: /is not known/ });
});
