import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";
import type { RouteKind } from "./types.ts";

/** Bytes that a server may have written when its connection is closed, with socket buffers. */
const MAX_WRITTEN_BYTES = 8 * 1024 * 1024;

/** Time within which the connection of a server that sends fast is closed. */
const MAX_FLOOD_MS = 2_000;

const HEAD = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Beginnings of answers and the bytes that follow them without end. */
const FLOODS: Record<string, { start: string; repeat: string; kind?: RouteKind }> = {
  "a status line": { start: "HTTP/1.1 200 ", repeat: "x" },
  "header lines": { start: "HTTP/1.1 200 OK\r\n", repeat: "a: b\r\n" },
  "one header": { start: "HTTP/1.1 200 OK\r\na: ", repeat: "b" },
  "informational answers": { start: "", repeat: "HTTP/1.1 102 Processing\r\n\r\n" },
  "no HTTP": { start: "", repeat: "\u0000\u0001junk" },
  "chunk extensions": { start: `${CHUNKED}5;`, repeat: "a=b;" },
  "trailers": { start: `${CHUNKED}0\r\n`, repeat: "a: b\r\n" },
  "an answer of an unsealed server": {
    start: "HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\n",
    repeat: "x",
  },
  "an error body of a stream": {
    start: "HTTP/1.1 500 Failed\r\nAttempt: a1\r\nSeal: s\r\n\r\n",
    repeat: "x",
    kind: ROUTE_KIND.STREAMING,
  },
  "a stream without a boundary": {
    start: `${HEAD}\r\n`,
    repeat: "x",
    kind: ROUTE_KIND.STREAMING,
  },
  "events without ids": {
    start: `${HEAD}\r\n`,
    repeat: "data: junk\n\n",
    kind: ROUTE_KIND.STREAMING,
  },
  "repeated events": {
    start: `${HEAD}\r\nid: 1\ndata: x\n\n`,
    repeat: "id: 1\ndata: x\n\n",
    kind: ROUTE_KIND.STREAMING,
  },
};

interface FloodRecord {
  writtenBytes: number;
  durationMs: number;
}

/** Sends bytes as fast as the host reads them, until the host closes the connection. */
function createFlood(start: string, repeat: string, record: FloodRecord): ServerBehaviour {
  const block = Buffer.from(repeat.repeat(Math.ceil(16_384 / repeat.length)));
  return async (_req, res) => {
    const socket = takeSocket(res);
    const startMs = performance.now();
    socket.write(start);
    while (!socket.destroyed) {
      if (socket.write(block)) await wait(0);
      else await new Promise<void>((resolve) => onceWritable(socket, resolve));
    }
    record.writtenBytes = socket.bytesWritten;
    record.durationMs = performance.now() - startMs;
  };
}

/** Sends a byte every few milliseconds, until the host closes the connection. */
function createTrickle(start: string, repeat: string, record: FloodRecord): ServerBehaviour {
  return async (_req, res) => {
    const socket = takeSocket(res);
    const startMs = performance.now();
    socket.write(start);
    for (let at = 0; !socket.destroyed; at++) {
      socket.write(repeat[at % repeat.length] ?? "");
      await wait(5);
    }
    record.durationMs = performance.now() - startMs;
  };
}

function takeSocket(res: ServerResponse): Socket {
  const socket = res.socket as Socket;
  socket.on("error", () => {});
  return socket;
}

function onceWritable(socket: Socket, resolve: () => void): void {
  socket.once("drain", resolve);
  socket.once("close", resolve);
}

const EVENTS = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n";

const answerWhole = (kind: RouteKind): ServerBehaviour => (_req, res) => {
  const body = kind === ROUTE_KIND.STREAMING ? EVENTS : "whole";
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).end(body);
};

for (const [name, { start, repeat, kind = ROUTE_KIND.IDEMPOTENT }] of Object.entries(FLOODS)) {
  test.serial(`${name} without end: the connection is closed and another server answers`, async (t) => {
    const record = { writtenBytes: Infinity, durationMs: Infinity };
    const behaviours = [createFlood(start, repeat, record), answerWhole(kind)];
    // The time limits of a slow answer are longer than the test.
    const host = await createTestHost(behaviours, { expectedMs: 60_000, pauseGoalMs: 60_000 });
    t.teardown(() => host.close());
    const { status, body, isComplete } = await host.call({ kind, deadlineMs: 10_000 });
    await wait(50);
    t.deepEqual(
      [status, body, isComplete],
      [200, kind === ROUTE_KIND.STREAMING ? EVENTS : "whole", true],
    );
    t.true(record.durationMs < MAX_FLOOD_MS, `${record.durationMs} ms`);
    t.true(record.writtenBytes < MAX_WRITTEN_BYTES, `${record.writtenBytes} bytes`);
  });

  test(`${name} a byte at a time: the request ends by its deadline`, async (t) => {
    const record = { writtenBytes: 0, durationMs: Infinity };
    const behaviours = [createTrickle(start, repeat, record)];
    const host = await createTestHost(behaviours, { maxAttempts: 1, pauseGoalMs: 60_000 });
    t.teardown(() => host.close());
    const { status, isComplete } = await host.call({ kind, deadlineMs: 1_000 });
    await wait(50);
    t.false(status === 200 && isComplete);
    t.true(record.durationMs < 1_500, `${record.durationMs} ms`);
  });
}

test("bytes without end after a complete answer are not read and not passed on", async (t) => {
  const record = { writtenBytes: Infinity, durationMs: Infinity };
  const behaviour = createFlood(`${HEAD}Content-Length: 5\r\n\r\nwhole`, "x", record);
  const host = await createTestHost([behaviour]);
  t.teardown(() => host.close());
  const { status, body, isComplete } = await host.call();
  await wait(50);
  t.deepEqual([status, body, isComplete], [200, "whole", true]);
  t.true(record.durationMs < MAX_FLOOD_MS, `${record.durationMs} ms`);
});

test("bytes without end leave a request that may have run unanswered by success, and others unharmed", async (t) => {
  const record = { writtenBytes: Infinity, durationMs: Infinity };
  const { start, repeat } = FLOODS["informational answers"]!;
  let calls = 0;
  const flood = createFlood(start, repeat, record);
  const behaviour: ServerBehaviour = (req, res, body) => {
    calls += 1;
    if (calls === 1) flood(req, res, body);
    else answerWhole(ROUTE_KIND.IDEMPOTENT)(req, res, body);
  };
  const host = await createTestHost([behaviour]);
  t.teardown(() => host.close());
  const flooded = host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT });
  await wait(10);
  const other = await host.call({ kind: ROUTE_KIND.NON_IDEMPOTENT });
  t.deepEqual([other.status, other.body], [200, "whole"]);
  t.is((await flooded).status, 502);
});
