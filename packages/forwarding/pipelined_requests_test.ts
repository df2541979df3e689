import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { ServerBehaviour, TestHost } from "./_testing/create_test_host.ts";
import { MAX_UNREAD_BODY_BYTES, UNREAD_BODY_IDLE_MS } from "./constants.ts";
import { ROUTE_KIND } from "./types.ts";

/** Time that a request takes at its server. */
const CALL_MS = 5_000;

const slow: ServerBehaviour = async (_req, res) => {
  await wait(CALL_MS);
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("whole");
};

const post = (kind: string) =>
  `POST /${kind}/1 HTTP/1.1\r\nHost: a.example\r\nAttempt: a1\r\nKey: k1\r\nContent-Length: 0\r\n\r\n`;

async function waitFor(condition: () => boolean, timeoutMs: number): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!condition() && performance.now() < endMs) await wait(10);
}

async function connectTo(t: ExecutionContext, host: TestHost): Promise<Socket> {
  t.teardown(() => host.close());
  const [ip = "", port] = host.address.split(":");
  const socket = connect(Number(port), ip).on("error", () => {});
  t.teardown(() => socket.destroy());
  await once(socket, "connect");
  return socket;
}

for (const kind of Object.values(ROUTE_KIND)) {
  test(`requests (${kind}) behind each other whose caller leaves are cancelled and not kept`, async (t) => {
    const host = await createTestHost([slow], { timeoutMs: 4 * CALL_MS });
    const socket = await connectTo(t, host);
    socket.write(post(kind).repeat(3));
    await waitFor(() => host.arrivals.length === 3, CALL_MS);
    socket.destroy();
    await waitFor(() => host.size() === 0, CALL_MS / 2);
    t.is(host.size(), 0);
    t.deepEqual(host.outcomes, ["cancelled", "cancelled", "cancelled"]);
  });
}

/** Answers a request without a body later than one with a body. */
const answer: ServerBehaviour = async (_req, res, body) => {
  if (body === "") await wait(200);
  res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("whole");
};

/** Collects what a caller receives. */
function collect(socket: Socket): () => string {
  let text = "";
  socket.setEncoding("utf8").on("data", (chunk: string) => text += chunk);
  return () => text;
}

const postWith = (kind: string, fields: string, body = "") =>
  `${post(kind).replace("Content-Length: 0\r\n", fields)}${body}`;

for (const count of [1, 2]) {
  test(`an answer to a request that expects status 100 between ${count} others and ${count} is not mixed with it`, async (t) => {
    const host = await createTestHost([answer]);
    const socket = await connectTo(t, host);
    const text = collect(socket);
    const expecting = postWith(
      ROUTE_KIND.NON_IDEMPOTENT,
      "Content-Length: 4\r\nExpect: 100-continue\r\n",
      "body",
    );
    const others = post(ROUTE_KIND.IDEMPOTENT).repeat(count);
    socket.write(others + expecting + others);
    await waitFor(() => text().split("whole").length > 2 * count + 1, CALL_MS);
    const answers = text().match(/HTTP\/1.1 200 OK\r\n(?:[^\r\n]+\r\n)+\r\nwhole/g);
    t.is(answers?.length, 2 * count + 1);
  });
}

test("a caller that sends its body only after status 100 is answered behind another request", async (t) => {
  const host = await createTestHost([answer]);
  const socket = await connectTo(t, host);
  const text = collect(socket);
  const fields = "Content-Length: 4\r\nExpect: 100-continue\r\n";
  socket.write(post(ROUTE_KIND.IDEMPOTENT) + postWith(ROUTE_KIND.NON_IDEMPOTENT, fields));
  await waitFor(() => text().includes("HTTP/1.1 100 Continue\r\n\r\n"), CALL_MS);
  t.regex(text(), /^HTTP\/1.1 200 OK\r\n(?:[^\r\n]+\r\n)+\r\nwholeHTTP\/1.1 100 Continue\r\n\r\n$/);
  socket.write("body");
  await waitFor(() => text().split("whole").length > 2, CALL_MS);
  t.is(host.arrivals.at(-1)?.body, "body");
  t.deepEqual(text().match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 200", "HTTP/1.1 100", "HTTP/1.1 200"]);
});

test("a request that expects status 100 and waits for its turn until its deadline is not run", async (t) => {
  const late: ServerBehaviour = async (_req, res) => {
    await wait(1_000);
    res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("whole");
  };
  const host = await createTestHost([late]);
  const socket = await connectTo(t, host);
  const text = collect(socket);
  const fields = "Deadline: 500\r\nContent-Length: 4\r\nExpect: 100-continue\r\n";
  socket.write(post(ROUTE_KIND.IDEMPOTENT) + postWith(ROUTE_KIND.NON_IDEMPOTENT, fields, "body"));
  await waitFor(() => (text().match(/HTTP\/1.1 [2-5]\d+/g)?.length ?? 0) > 1, CALL_MS);
  t.deepEqual(text().match(/HTTP\/1.1 [2-5]\d+/g), ["HTTP/1.1 200", "HTTP/1.1 504"]);
  t.is(host.arrivals.length, 1);
});

test("a request behind one that expects status 100 and is refused is answered", async (t) => {
  const host = await createTestHost([answer]);
  const socket = await connectTo(t, host);
  const text = collect(socket);
  const fields = "Content-Length: 4\r\nExpect: 100-continue\r\n";
  socket.write(post(ROUTE_KIND.IDEMPOTENT) + postWith("none", fields, "body") + post("none"));
  await waitFor(() => text().split("unknown_route").length > 2, CALL_MS);
  t.deepEqual(text().match(/HTTP\/1.1 [2-5]\d+/g), [
    "HTTP/1.1 200",
    "HTTP/1.1 404",
    "HTTP/1.1 404",
  ]);
});

const TOO_LARGE = "x".repeat(1_000_001);

const LARGE_BODIES: Record<string, [fields: string, body: string]> = {
  "with a length": [`Content-Length: ${TOO_LARGE.length}\r\n`, TOO_LARGE],
  "in chunks": [
    "Transfer-Encoding: chunked\r\n",
    `${TOO_LARGE.length.toString(16)}\r\n${TOO_LARGE}\r\n0\r\n\r\n`,
  ],
};
for (const [name, [fields, body]] of Object.entries(LARGE_BODIES)) {
  test(`requests behind one whose body ${name} is over the limit are answered`, async (t) => {
    const host = await createTestHost([answer]);
    const socket = await connectTo(t, host);
    const text = collect(socket);
    socket.write(postWith(ROUTE_KIND.IDEMPOTENT, fields, body));
    socket.write(post(ROUTE_KIND.NON_IDEMPOTENT).repeat(2));
    await waitFor(() => text().split("whole").length > 2, CALL_MS);
    const statuses = text().match(/HTTP\/1.1 \d+/g);
    t.deepEqual(statuses, ["HTTP/1.1 413", "HTTP/1.1 200", "HTTP/1.1 200"]);
  });
}

test("a caller that states a body far over the limit is told that the connection is closed", async (t) => {
  const host = await createTestHost([answer]);
  const socket = await connectTo(t, host);
  const text = collect(socket);
  socket.write(postWith(ROUTE_KIND.IDEMPOTENT, `Content-Length: ${MAX_UNREAD_BODY_BYTES + 1}\r\n`));
  await once(socket, "end");
  t.regex(text(), /^HTTP\/1.1 413 [^]*Connection: close\r\n/);
});

test.serial("a request behind a refused one is answered although the rest of a body arrives while the event loop is blocked", async (t) => {
  const host = await createTestHost([answer]);
  const socket = await connectTo(t, host);
  const text = collect(socket);
  socket.write(postWith("none", "Content-Length: 4\r\n", "ab"));
  await waitFor(() => text().includes("unknown_route"), CALL_MS);
  // Timers run next, before the sockets are read.
  setImmediate(() => {
    socket.write(`cd${post(ROUTE_KIND.IDEMPOTENT)}`);
    const endMs = performance.now() + 1.5 * UNREAD_BODY_IDLE_MS;
    while (performance.now() < endMs);
  });
  await waitFor(() => text().includes("whole"), CALL_MS);
  t.deepEqual(text().match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 404", "HTTP/1.1 200"]);
});

const CONNECT = "CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n";

test("a request for a tunnel is refused", async (t) => {
  const host = await createTestHost([answer]);
  const socket = await connectTo(t, host);
  const text = collect(socket);
  socket.write(CONNECT);
  await once(socket, "end");
  t.regex(text(), /^HTTP\/1.1 400 [^]*Connection: close\r\n/);
});

test("requests in front of one for a tunnel are answered, then the connection is closed", async (t) => {
  const host = await createTestHost([answer]);
  const socket = await connectTo(t, host);
  const text = collect(socket);
  socket.write(post(ROUTE_KIND.NON_IDEMPOTENT).repeat(2) + CONNECT);
  await once(socket, "end");
  t.deepEqual(text().match(/HTTP\/1.1 200 OK\r\n(?:[^\r\n]+\r\n)+\r\nwhole/g)?.length, 2);
  await waitFor(() => host.size() === 0, CALL_MS);
  t.is(host.size(), 0);
});

test("a large answer in front of a request for a tunnel is passed on to a slow caller", async (t) => {
  const size = 16 * 1024 * 1024;
  const host = await createTestHost([
    (_req, res) => void res.writeHead(200, { Attempt: "a1", Seal: "s" }).end("x".repeat(size)),
  ]);
  const socket = await connectTo(t, host);
  let length = 0;
  socket.write(post(ROUTE_KIND.IDEMPOTENT) + CONNECT);
  await wait(300);
  socket.on("data", (chunk: Buffer) => length += chunk.length);
  await once(socket, "end");
  t.true(length > size);
});

test("a caller that leaves behind a request for a tunnel has its requests cancelled", async (t) => {
  const host = await createTestHost([slow], { timeoutMs: 4 * CALL_MS });
  const socket = await connectTo(t, host);
  socket.write(post(ROUTE_KIND.IDEMPOTENT).repeat(2) + CONNECT);
  await waitFor(() => host.arrivals.length === 2, CALL_MS);
  socket.resetAndDestroy();
  await waitFor(() => host.size() === 0, CALL_MS / 2);
  t.is(host.size(), 0);
  t.deepEqual(host.outcomes, ["cancelled", "cancelled"]);
});
