import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createClock } from "@jaypass/kernel";
import type { Logger, Metrics } from "@jaypass/kernel";
import { LIMIT_LOG_INTERVAL_MS } from "./constants.ts";
import { createClientLimits } from "./create_client_limits.ts";

/** Time for which a test waits for bytes. */
const MAX_WAIT_MS = 5_000;

/** Starts an HTTP server with limits on its clients, which counts and logs what they do. */
async function setUp(
  t: ExecutionContext,
  { heldBytes = 4_000_000, connections = 10, addressConnections = 10 } = {},
  handle: (req: IncomingMessage, res: ServerResponse) => void = (_req, res) => void res.end("ok"),
) {
  const answers = new Map<Socket, Set<ServerResponse>>();
  const counts: Record<string, number> = {};
  const lines: object[] = [];
  const log = { warn: (fields: object) => void lines.push(fields) } as unknown as Logger;
  const metrics = {
    increment: (_name: string, { reason = "" }: Record<string, string> = {}) => {
      counts[reason] = (counts[reason] ?? 0) + 1;
    },
  } as unknown as Metrics;
  const state = { nowMs: 0 };
  // Stands still, so that no turn ends for its time, which is counted as well.
  const clock = { ...createClock(), nowMs: () => state.nowMs };
  const limits = createClientLimits({
    limits: { heldBytes, connections, addressConnections },
    clock,
    log,
    metrics,
  })?.attach({
    listAnswers: (socket) => [...answers.get(socket) ?? []],
    isEnding: () => false,
    onEndlessHead: (socket) => socket.end("HTTP/1.1 431 Too Large\r\n\r\n"),
    close: (_socket, _reason, shut) => shut(),
  });
  const server = createServer((req, res) => {
    answers.get(req.socket)?.add(res);
    res.once("close", () => {
      answers.get(req.socket)?.delete(res);
      limits?.advance(req.socket);
    });
    handle(req, res);
  });
  server.on("connection", (socket) => {
    if (limits?.admit(socket) === false) return;
    answers.set(socket, new Set());
    limits?.open(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const open = () => {
    const socket = connect(port, "127.0.0.1").on("error", () => {});
    t.teardown(() => socket.destroy());
    const received = { socket, text: "" };
    socket.setEncoding("utf8").on("data", (part: string) => received.text += part);
    return received;
  };
  const waitUntil = async (condition: () => boolean) => {
    const endMs = performance.now() + MAX_WAIT_MS;
    while (!condition() && performance.now() < endMs) await wait(5);
    return condition();
  };
  return { open, waitUntil, counts, lines, state };
}

// Node.js resumes the socket from within the parser; to parse on there mixed up the bytes of a body.
test("a body whose handler reads it at once, with pauses, arrives whole", async (t) => {
  const { open, waitUntil } = await setUp(t, {}, async (req, res) => {
    let length = 0;
    for await (const piece of req) {
      length += (piece as Buffer).length;
      if (length % 7 === 0) await wait(1);
    }
    res.end(`read ${length}`);
  });
  const caller = open();
  const body = "x".repeat(600_000);
  caller.socket.write(
    `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
  t.true(await waitUntil(() => caller.text.includes(`read ${body.length}`)), caller.text);
});

test("requests behind each other are answered one after the other", async (t) => {
  const { open, waitUntil } = await setUp(t);
  const caller = open();
  caller.socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(500));
  t.true(await waitUntil(() => caller.text.split("HTTP/1.1 200").length === 501));
});

test("an idle connection gives way to a new one, and an address has only its part", async (t) => {
  const first = await setUp(t, { connections: 3 });
  const callers = [first.open(), first.open(), first.open()];
  await Promise.all(callers.map(({ socket }) => once(socket, "connect")));
  const last = first.open();
  last.socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  t.true(await first.waitUntil(() => last.text.includes("200 OK")));
  t.true(await first.waitUntil(() => callers.some(({ socket }) => socket.destroyed)));
  t.deepEqual(first.counts, { replace_idle: 1 });

  const second = await setUp(t, { addressConnections: 1 });
  await once(second.open().socket, "connect");
  await wait(50);
  const refused = second.open();
  t.true(await second.waitUntil(() => refused.socket.destroyed));
  t.deepEqual(second.counts, { refuse_address: 1 });
});

test("a line tells how often limits took effect, at a bounded rate", async (t) => {
  const { open, waitUntil, counts, lines, state } = await setUp(t, { addressConnections: 0 });
  const refuse = async (count: number) => {
    const before = counts.refuse_address ?? 0;
    for (let at = 0; at < count; at++) open();
    await waitUntil(() => (counts.refuse_address ?? 0) === before + count);
  };
  await refuse(5);
  t.is(lines.length, 1);
  state.nowMs += LIMIT_LOG_INTERVAL_MS;
  await refuse(1);
  t.like(lines[1], { refuse_address: 5, connections: 0 });
});
