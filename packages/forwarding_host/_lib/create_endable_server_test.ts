import { once } from "node:events";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createEndableServer } from "./create_endable_server.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
const OPTIONS = { clock: { nowMs: () => performance.now() }, isDue: () => false };

/** Starts a server whose answers take 100 ms. */
async function startServer(t: ExecutionContext, stopSignal = new AbortController().signal) {
  const endable = createEndableServer(async (_req, res) => {
    await wait(100);
    res.end("ok");
  }, { stopSignal });
  endable.server.listen(0, "127.0.0.1");
  t.teardown(() => endable.server.close());
  await once(endable.server, "listening");
  const { port } = endable.server.address() as AddressInfo;
  const open = () => {
    const socket = connect(port, "127.0.0.1");
    t.teardown(() => socket.destroy());
    let text = "";
    socket.setEncoding("utf8").on("data", (part: string) => void (text += part));
    const ended = once(socket, "close").then(() => text);
    return { socket, ended };
  };
  return { ...endable, open };
}

test("a request in progress at the end is answered, and its connection is closed after it", async (t) => {
  const { open, end, connectionCount } = await startServer(t);
  const { socket, ended } = open();
  socket.write(REQUEST);
  await wait(50);
  await end(OPTIONS);
  t.regex(await ended, /^HTTP\/1.1 200 OK[^]*ok/);
  await wait(20);
  t.is(connectionCount(), 0);
});

test("a request that crosses the end on an idle connection is refused, and not handled", async (t) => {
  const { open, end } = await startServer(t);
  const { socket, ended } = open();
  socket.write(REQUEST);
  await once(socket, "data");
  await end(OPTIONS);
  socket.write(REQUEST);
  const answers = (await ended).match(/HTTP\/1.1 \d+/g);
  t.deepEqual(answers, ["HTTP/1.1 200", "HTTP/1.1 408"]);
});

test("a request on a connection that waits to be accepted at the end is answered", async (t) => {
  const { open, end } = await startServer(t);
  const calls = Array.from({ length: 20 }, open);
  for (const { socket } of calls) socket.write(REQUEST);
  await end(OPTIONS);
  const texts = await Promise.all(calls.map(({ ended }) => ended));
  t.deepEqual([...new Set(texts.map((text) => text.slice(9, 12)))], ["200"]);
});

test("answers announce the close once the host stops", async (t) => {
  const { open } = await startServer(t, AbortSignal.abort());
  const { socket, ended } = open();
  socket.write(REQUEST);
  t.regex(await ended, /^HTTP\/1.1 200 OK\r\n[^]*Connection: close/);
});

/** Sends a second request on its connection when the flag is 1, then sets it to 2. */
const KEPT_CALLER = `
  const { connect } = require("node:net");
  const { parentPort, workerData: { flag, port } } = require("node:worker_threads");
  const request = "GET / HTTP/1.1\\r\\nHost: a.example\\r\\n\\r\\n";
  const socket = connect(port, "127.0.0.1");
  let answers = 0;
  socket.on("error", () => {});
  socket.on("close", () => parentPort.postMessage(answers));
  socket.on("data", () => {
    answers += 1;
    parentPort.postMessage("answer " + answers);
    if (answers !== 1) return;
    Atomics.wait(flag, 0, 0);
    socket.write(request, () => {
      Atomics.store(flag, 0, 2);
      Atomics.notify(flag, 0);
    });
  });
  socket.write(request);
`;

test.serial("a request that arrives while the process is stalled beyond the idle timeout is answered", async (t) => {
  const { server } = createEndableServer(
    (_req, res) => void res.end("ok"),
    { stopSignal: new AbortController().signal },
  );
  server.keepAliveTimeout = 2_000;
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const flag = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(KEPT_CALLER, { eval: true, workerData: { flag, port } });
  t.teardown(() => worker.terminate());
  t.deepEqual(await once(worker, "message"), ["answer 1"]);
  const next = once(worker, "message");
  // Timers run right after this phase of the event loop.
  await new Promise((resolve) => setImmediate(resolve));
  Atomics.store(flag, 0, 1);
  Atomics.notify(flag, 0);
  Atomics.wait(flag, 0, 1, 10_000);
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, server.keepAliveTimeout + 1_500);
  t.deepEqual(await next, ["answer 2"]);
  server.closeAllConnections();
  server.close();
});
