import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND, SERVER_STATUS } from "./types.ts";

const EVENTS = Array.from({ length: 10 }, (_, at) => `id: ${at + 1}\ndata: x\n\n`);

const stream: ServerBehaviour = async (_req, res) => {
  res.writeHead(200, { Attempt: "a1", Seal: "s" });
  for (const event of EVENTS) {
    if (res.destroyed) return;
    res.write(event);
    await wait(100);
  }
  res.end();
};

/** Longest silence of a sound server, which may be silent for a second or so. */
const SILENCE_MS = 1_800;

const HEAD = { Attempt: "a1", Seal: "s" };
const HALF = EVENTS.length / 2;

const streamWithSilence: ServerBehaviour = async (_req, res) => {
  res.writeHead(200, HEAD).write(EVENTS.slice(0, HALF).join(""));
  await wait(SILENCE_MS);
  res.end(EVENTS.slice(HALF).join(""));
};

const REFUSING = {
  restartedAtMs: [2],
  serverStatus: [SERVER_STATUS.REFUSING],
  pauseGoalMs: 250,
  maxAttempts: 2,
};

for (
  const { title, isResumable, maxAttempts } of [
    { title: "a stream that cannot resume", isResumable: false, maxAttempts: 2 },
    { title: "the last attempt of a stream", isResumable: true, maxAttempts: 1 },
  ]
) {
  test(`${title} is not ended by a silence of its server, which has left and refuses checks`, async (t) => {
    const host = await createTestHost([streamWithSilence], {
      ...REFUSING,
      isResumable,
      maxAttempts,
    });
    t.teardown(() => host.close());
    const { body, isComplete } = await host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: 6_000 });
    t.deepEqual([body, isComplete], [EVENTS.join(""), true]);
  });
}

test("another server is tried beside one that refuses checks, as soon as beside any silent one", async (t) => {
  const other: ServerBehaviour = (_req, res) => void res.writeHead(200, HEAD).end("other");
  const options = { ...REFUSING, expectedMs: 5_000, isResumable: true };
  const host = await createTestHost([() => {}, other], options);
  t.teardown(() => host.close());
  const startMs = performance.now();
  const { body } = await host.call({ deadlineMs: 6_000 });
  t.is(body, "other");
  t.true(performance.now() - startMs < 2_000);
});

test("a server that refuses checks and stays silent is given up before the deadline", async (t) => {
  const host = await createTestHost([() => {}], { ...REFUSING, maxAttempts: 1 });
  t.teardown(() => host.close());
  const startMs = performance.now();
  const { status } = await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT, deadlineMs: 8_000 });
  t.is(status, 502);
  t.true(performance.now() - startMs < 4_000);
});

test("a stream that is sent is not ended because its server has left and refuses checks", async (t) => {
  const host = await createTestHost([stream], {
    restartedAtMs: [2],
    serverStatus: [SERVER_STATUS.LOST],
    pauseGoalMs: 1_000,
  });
  t.teardown(() => host.close());
  const { body, isComplete } = await host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: 5_000 });
  t.deepEqual([body, isComplete], [EVENTS.join(""), true]);
});
