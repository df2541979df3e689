import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND, SERVER_STATUS } from "./types.ts";

/** Silence after which a sound server goes on; shorter than what a host tolerates by 0.4 s. */
const SILENCE_MS = 1_000;

const HEAD = { Attempt: "a1", Seal: "s" };
const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const BODY = FIRST + SECOND;

/**
 * Waits until the server has been silent since the caller sent its request, at the time in the target.
 * A busy machine takes long to bring the request to the server.
 */
async function waitFromSend(url = ""): Promise<void> {
  await wait(Number(url.split("/").at(-1)) + SILENCE_MS - performance.now());
}

/** Sends an answer whose parts are apart by the silence; that of an empty part begins at the send. */
const sendInParts =
  (head: Record<string, string>, parts: string[]): ServerBehaviour => async ({ url }, res) => {
    res.writeHead(200, head).flushHeaders();
    for (const [at, part] of parts.entries()) {
      if (at > 0) await (parts[at - 1] === "" ? waitFromSend(url) : wait(SILENCE_MS));
      if (part !== "") res.write(part);
    }
    res.end();
  };

const SILENCES: Record<string, ServerBehaviour> = {
  "before the head": async ({ url }, res) => {
    await waitFromSend(url);
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

const other: ServerBehaviour = (_req, res) => void res.writeHead(200, HEAD).end(BODY);

const ROUTES = {
  "an idempotent request": { kind: ROUTE_KIND.IDEMPOTENT, isResumable: false },
  "a non-idempotent request": { kind: ROUTE_KIND.NON_IDEMPOTENT, isResumable: false },
  "a stream that can resume": { kind: ROUTE_KIND.STREAMING, isResumable: true },
  "a stream that cannot resume": { kind: ROUTE_KIND.STREAMING, isResumable: false },
};

for (const [request, { kind, isResumable }] of Object.entries(ROUTES)) {
  for (const [place, behaviour] of Object.entries(SILENCES)) {
    test(`${request} keeps a sound server that is silent for 1 s ${place}`, async (t) => {
      const host = await createTestHost([behaviour, other], {
        isResumable,
        maxAttempts: 2,
        serverStatus: [SERVER_STATUS.UNREACHABLE],
      });
      t.teardown(() => host.close());
      const path = `/${kind}/${performance.now()}`;
      const { status, body, isComplete } = await host.call({ kind, path, deadlineMs: 5_000 });
      t.deepEqual([status, body, isComplete], [200, BODY, true]);
      t.deepEqual([host.arrivals.length, host.outcomes], [1, ["answered"]]);
    });
  }
}

/** Sends the rest of an answer and blocks the event loop, so that timers run before it is read. */
const sendAndBlock = (first: string, rest: string): ServerBehaviour => async (_req, res) => {
  if (first !== "") res.writeHead(200, HEAD).write(first);
  await wait(SILENCE_MS);
  setImmediate(() => {
    if (first === "") res.writeHead(200, HEAD);
    res.end(rest);
    const endMs = performance.now() + SILENCE_MS;
    while (performance.now() < endMs);
  });
};

for (
  const [place, first, rest] of [
    ["before the first event", "", BODY],
    ["between two events", FIRST, SECOND],
  ] as const
) {
  test.serial(`no other server is searched for a stream whose data arrived ${place} while the event loop was blocked`, async (t) => {
    const host = await createTestHost([sendAndBlock(first, rest), other]);
    t.teardown(() => host.close());
    const { body } = await host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: 5_000 });
    t.deepEqual([body, host.arrivals.length, host.outcomes], [BODY, 1, ["answered"]]);
  });
}

for (const kind of [ROUTE_KIND.IDEMPOTENT, ROUTE_KIND.STREAMING]) {
  // The checks of the server begin at once, since its entry names another start.
  test.serial(`${kind}: a silent server whose entry is gone is not unreachable after 1.5 s`, async (t) => {
    const behaviour: ServerBehaviour = async (_req, res) => {
      res.writeHead(200, HEAD).write(FIRST);
      await wait(1_500);
      res.end(SECOND);
    };
    const host = await createTestHost([behaviour, other], {
      maxAttempts: 2,
      // Only the checks of the server can end the silence.
      pauseGoalMs: 1_000,
      expectedMs: 1_000,
      restartedAtMs: [2],
      serverStatus: [SERVER_STATUS.UNREACHABLE],
    });
    t.teardown(() => host.close());
    const { body } = await host.call({ kind, deadlineMs: 5_000 });
    t.deepEqual([body, host.outcomes], [BODY, ["answered"]]);
  });
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
  const slow: ServerBehaviour = (_req, res) => {
    setTimeout(() => res.writeHead(200, HEAD).end(BODY), 200);
  };
  const host = await createTestHost([silent, slow], { maxAttempts: 2 });
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

for (
  const { place, before, after } of [
    { place: "the head", before: "", after: BODY },
    { place: "the next event", before: FIRST, after: SECOND },
  ]
) {
  test.serial(`a host that stands still does not take ${place} for missing`, async (t) => {
    const behaviour: ServerBehaviour = async (_req, res) => {
      if (before !== "") res.writeHead(200, HEAD).write(before);
      await wait(SILENCE_MS);
      if (before === "") res.writeHead(200, HEAD);
      res.end(after);
      const endMs = performance.now() + SILENCE_MS;
      while (performance.now() < endMs);
    };
    const host = await createTestHost([behaviour, other], { maxAttempts: 2 });
    t.teardown(() => host.close());
    const { body } = await host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: 5_000 });
    t.deepEqual([body, host.outcomes], [BODY, ["answered"]]);
  });
}

/** A server whose queue of new connections holds one more than its backlog. */
const SMALL_QUEUE_SERVER = `
const server = require("node:http").createServer((_req, res) => res.end());
server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
  process.stdout.write(String(server.address().port));
});`;

/** Starts a server that accepts no connection for a time. */
async function startUnconnectable(t: ExecutionContext): Promise<string> {
  const child = spawn(process.execPath, ["-e", SMALL_QUEUE_SERVER], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  t.teardown(() => child.kill("SIGKILL"));
  const [port] = await once(child.stdout, "data");
  child.kill("SIGSTOP");
  const sockets = [0, 1].map(() => connect(Number(String(port)), "127.0.0.1"));
  t.teardown(() => sockets.forEach((socket) => socket.destroy()));
  await Promise.all(sockets.map((socket) => once(socket, "connect")));
  setTimeout(() => child.kill("SIGCONT"), SILENCE_MS);
  return `127.0.0.1:${port}`;
}

for (const [request, { kind, isResumable }] of Object.entries(ROUTES)) {
  test(`${request} whose server accepts no connection is run once by another server`, async (t) => {
    const serverAddresses = [await startUnconnectable(t)];
    const host = await createTestHost([other, other], { serverAddresses, isResumable });
    t.teardown(() => host.close());
    const { status, body } = await host.call({ kind, deadlineMs: 5_000 });
    t.deepEqual([status, body], [200, BODY]);
    t.deepEqual(host.outcomes, ["silent", "answered"]);
  });
}

test("a request whose only server accepts no connection is refused as not run", async (t) => {
  const serverAddresses = [await startUnconnectable(t)];
  const host = await createTestHost([other], { serverAddresses });
  t.teardown(() => host.close());
  const result = await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT, deadlineMs: 5_000 });
  t.deepEqual([result.status, result.retryAfter !== undefined], [503, true]);
});

test("a prompt whose helper answers no memory orders for 1.2 s is run once", async (t) => {
  const startMs = performance.now();
  const host = await createTestHost([other, other, other, other], {
    reservationMs: 500,
    canReserve: () => performance.now() - startMs > SILENCE_MS,
  });
  t.teardown(() => host.close());
  const { status, body } = await host.call({ kind: ROUTE_KIND.STREAMING, deadlineMs: 5_000 });
  t.deepEqual([status, body, host.arrivals.length], [200, BODY, 1]);
});
