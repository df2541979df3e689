import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour } from "./_testing/create_test_host.ts";

const LIMITS = { heldBytes: 16 * 1024 * 1024, connections: 100, addressConnections: 75 };

/** Time for which the test waits for answers. */
const MAX_WAIT_MS = 5_000;

const POST =
  "POST /idempotent/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nKey: k1\r\nContent-Length: 4\r\n\r\nbody";

const slow: ServerBehaviour = async (_req, res) => {
  await wait(300);
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("whole");
};

const stream: ServerBehaviour = async (_req, res) => {
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).write("begun ");
  await wait(300);
  res.end("whole");
};

async function setUp(t: ExecutionContext, server: ServerBehaviour = slow) {
  const host = await createTestHost([server], { limits: LIMITS });
  t.teardown(() => host.close());
  const [ip = "", port] = host.address.split(":");
  const socket = connect(Number(port), ip).on("error", () => {});
  t.teardown(() => socket.destroy());
  await once(socket, "connect");
  let text = "";
  socket.setEncoding("utf8").on("data", (chunk: string) => text += chunk);
  const waitUntil = async (condition: () => boolean) => {
    const endMs = performance.now() + MAX_WAIT_MS;
    while (!condition() && performance.now() < endMs) await wait(10);
  };
  return { host, socket, text: () => text, waitUntil };
}

// An answer that announced the close would cut off the request that waits behind it.
test("a request that waits unread behind another one when the host stops is answered", async (t) => {
  const { host, socket, text, waitUntil } = await setUp(t);
  socket.write(POST.repeat(2));
  await waitUntil(() => host.arrivals.length === 1);
  host.stop({ remainingMs: 10_000, isNeeded: true });
  await waitUntil(() => text().split("whole").length > 2 || socket.readableEnded);
  t.deepEqual(text().match(/HTTP\/1.1 \d+|Connection: close/gi), [
    "HTTP/1.1 200",
    "HTTP/1.1 200",
    "Connection: close",
  ]);
});

// A host without the limits reads such a request beside the first one; see stop_test.ts.
test("a request that waits unread at the exit, with a part of its body, is refused and not sent", async (t) => {
  const { host, socket, text, waitUntil } = await setUp(t, stream);
  socket.write(POST);
  await waitUntil(() => text().includes("begun"));
  socket.write(POST.slice(0, -2));
  await wait(50);
  t.is(host.size(), 1);
  host.beginExit();
  await waitUntil(() => text().includes("HTTP/1.1 503"));
  socket.write(POST.slice(-2));
  await wait(200);
  t.deepEqual(text().match(/HTTP\/1.1 \d+|whole/g), ["HTTP/1.1 200", "whole", "HTTP/1.1 503"]);
  t.deepEqual([host.counters["stop_request refused"], host.arrivals.length], [1, 1]);
});
