import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { CallOptions, ServerBehaviour, TestHostOptions } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";

const SEALED = { Attempt: "a1", Seal: "s" };

const TIMEOUT_MS = 1_000;

/** Time before the timeout at which the server sends its answer and the event loop is blocked. */
const ANSWER_AHEAD_MS = 400;

/** Length of the block, which ends after the timeout. */
const BLOCK_MS = 700;

/** Time at which the caller sent its request; the timeout ends later. */
let sentMs = 0;

const TEXT = "x".repeat(20_000);
const EVENTS = "id: 1\ndata: x\n\n";
const REST = "id: 2\ndata: y\n\n";

function block(): void {
  const endMs = performance.now() + BLOCK_MS;
  while (performance.now() < endMs);
}

/** Sends an answer and blocks the event loop before the host can read it; timers run next. */
const answerAndBlock =
  (answer: (res: Parameters<ServerBehaviour>[1]) => void): ServerBehaviour => async (_req, res) => {
    await wait(sentMs + TIMEOUT_MS - ANSWER_AHEAD_MS - performance.now());
    setImmediate(() => {
      answer(res);
      block();
    });
  };

const ANSWERS: Record<string, [behaviour: ServerBehaviour, call: CallOptions, body: string]> = {
  "answer with a length": [
    answerAndBlock((res) =>
      void res.writeHead(200, { ...SEALED, "Content-Length": TEXT.length }).end(TEXT)
    ),
    {},
    TEXT,
  ],
  "answer in chunks": [
    answerAndBlock((res) => {
      res.writeHead(200, SEALED).write("x");
      res.end("y");
    }),
    {},
    "xy",
  ],
  "answer that ends with its connection": [
    answerAndBlock((res) => {
      res.useChunkedEncodingByDefault = false;
      res.writeHead(200, { ...SEALED, Connection: "close" }).end("x");
    }),
    {},
    "x",
  ],
  "answer of a request that must not run twice": [
    answerAndBlock((res) => void res.writeHead(200, SEALED).end("x")),
    { kind: ROUTE_KIND.NON_IDEMPOTENT },
    "x",
  ],
  "stream": [
    answerAndBlock((res) => void res.writeHead(200, SEALED).end(EVENTS + REST)),
    { kind: ROUTE_KIND.STREAMING },
    EVENTS + REST,
  ],
  "rest of a stream": [
    (req, res, body) => {
      res.writeHead(200, SEALED).write(EVENTS);
      answerAndBlock(() => void res.end(REST))(req, res, body);
    },
    { kind: ROUTE_KIND.STREAMING },
    EVENTS + REST,
  ],
};

const LIMITS: Record<string, [options: TestHostOptions, call: CallOptions]> = {
  "the route's timeout": [{ timeoutMs: TIMEOUT_MS }, {}],
  "its deadline": [{}, { deadlineMs: TIMEOUT_MS }],
};

for (const [limit, [options, limitCall]] of Object.entries(LIMITS)) {
  for (const [name, [behaviour, call, body]] of Object.entries(ANSWERS)) {
    test.serial(`the ${name} that arrived before ${limit} is passed on although the event loop was blocked`, async (t) => {
      const host = await createTestHost([behaviour], options);
      t.teardown(() => host.close());
      sentMs = performance.now();
      t.like(await host.call({ ...call, ...limitCall }), { status: 200, body, isComplete: true });
    });
  }
}
