import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND, SERVER_STATUS } from "./types.ts";

/** Silence after which a sound server may go on. */
const SILENCE_MS = 1_500;

const HEAD = { Attempt: "a1", Seal: "s" };
const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const BODY = FIRST + SECOND;

/** Sends an answer whose parts are apart by the silence. */
const sendInParts =
  (head: Record<string, string>, parts: string[]): ServerBehaviour => async (_req, res) => {
    res.writeHead(200, head).flushHeaders();
    for (const [at, part] of parts.entries()) {
      if (at > 0) await wait(SILENCE_MS);
      if (part !== "") res.write(part);
    }
    res.end();
  };

const SILENCES: Record<string, ServerBehaviour> = {
  "before the head": async (_req, res) => {
    await wait(SILENCE_MS);
    res.writeHead(200, HEAD).end(BODY);
  },
  "after the head": sendInParts(HEAD, ["", BODY]),
  "in a body with a length": sendInParts(
    { ...HEAD, "Content-Length": String(BODY.length) },
    [FIRST, SECOND],
  ),
  "between two events": sendInParts(HEAD, [FIRST, SECOND]),
  "in an event": sendInParts(HEAD, [BODY.slice(0, -5), BODY.slice(-5)]),
};

const ROUTES = {
  "an idempotent request": { kind: ROUTE_KIND.IDEMPOTENT, isResumable: false },
  "a non-idempotent request": { kind: ROUTE_KIND.NON_IDEMPOTENT, isResumable: false },
  "a stream that can resume": { kind: ROUTE_KIND.STREAMING, isResumable: true },
  "a stream that cannot resume": { kind: ROUTE_KIND.STREAMING, isResumable: false },
};

for (const [request, { kind, isResumable }] of Object.entries(ROUTES)) {
  for (const [place, behaviour] of Object.entries(SILENCES)) {
    for (const entry of ["current", "gone"] as const) {
      const title = `${request} keeps a sound server that is silent for 1.5 s ${place}`;
      test(`${title}, with its entry ${entry}`, async (t) => {
        const other: ServerBehaviour = (_req, res) => void res.writeHead(200, HEAD).end(BODY);
        const host = await createTestHost([behaviour, other], {
          isResumable,
          maxAttempts: 2,
          restartedAtMs: entry === "gone" ? [2] : [],
          serverStatus: [SERVER_STATUS.UNREACHABLE],
        });
        t.teardown(() => host.close());
        const { status, body, isComplete } = await host.call({ kind, deadlineMs: 5_000 });
        t.deepEqual([status, body, isComplete], [200, BODY, true]);
        t.deepEqual([host.arrivals.length, host.outcomes], [1, ["answered"]]);
      });
    }
  }
}

for (
  const { title, isResumable, maxAttempts } of [
    { title: "a stream that cannot resume", isResumable: false, maxAttempts: 2 },
    { title: "the last attempt of a stream", isResumable: true, maxAttempts: 1 },
  ]
) {
  test(`${title} is not cut off by a long silence of its server`, async (t) => {
    const behaviour: ServerBehaviour = async (_req, res) => {
      res.writeHead(200, HEAD).write(FIRST);
      await wait(2 * SILENCE_MS);
      res.end(SECOND);
    };
    const host = await createTestHost([behaviour], { isResumable, maxAttempts });
    t.teardown(() => host.close());
    const call = { kind: ROUTE_KIND.STREAMING, deadlineMs: 5_000 };
    const { body, isComplete } = await host.call(call);
    t.deepEqual([body, isComplete], [BODY, true]);
  });
}

test("a request with little time leaves a silent server while another one can answer", async (t) => {
  const silent: ServerBehaviour = () => {};
  const other: ServerBehaviour = (_req, res) => {
    setTimeout(() => res.writeHead(200, HEAD).end(BODY), 200);
  };
  const host = await createTestHost([silent, other], { maxAttempts: 2 });
  t.teardown(() => host.close());
  const { status, body } = await host.call({ deadlineMs: 1_200 });
  t.deepEqual([status, body], [200, BODY]);
});

test("a silence of all servers does not end a request whose retry would be refused", async (t) => {
  const host = await createTestHost([SILENCES["before the head"] as ServerBehaviour], {
    maxAttempts: 2,
  });
  t.teardown(() => host.close());
  const { status, body } = await host.call({ deadlineMs: 5_000 });
  t.deepEqual([status, body], [200, BODY]);
});
