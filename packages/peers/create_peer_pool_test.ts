import { connect, createServer, type Server, type Socket } from "node:net";
import { createClock, createMetrics, type Logger, sleep } from "@jaypass/kernel";
import {
  createPeerPool,
  createPeerServer,
  definePeerMethod,
  PeerError,
  PeerRefusal,
} from "./mod.ts";
import { readFileSync } from "node:fs";
import test, { type ExecutionContext } from "ava";
import type { PeerTls } from "./types.ts";
import { z } from "zod";

const log: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
  child: () => log,
};
const clock = createClock();
const metrics = createMetrics({ tags: {} });
const key = (name: string) =>
  readFileSync(new URL(`./test_keys/${name}.pem`, import.meta.url), "utf8");
const hostKeys = { ca: key("ca"), cert: key("host"), key: key("host_key") };

const echo = definePeerMethod({
  service: "Test",
  name: "Echo",
  req: z.object({ text: z.string(), waitMs: z.number().optional() }),
  res: z.object({ text: z.string(), remainingMs: z.number() }),
});
const count = definePeerMethod({
  service: "Test",
  name: "Count",
  req: z.object({ to: z.number() }),
  res: z.object({ n: z.number() }),
  streaming: true,
});

async function startServer(t: ExecutionContext, tls: PeerTls = "off", listen = "127.0.0.1:0") {
  const server = createPeerServer({ listen, tls, log, metrics });
  const seen = { calls: 0, aborted: 0 };
  server.handle(echo, async (req, context) => {
    seen.calls++;
    if (req.text === "refuse") throw new PeerRefusal("busy", { retryAfterMs: 40 });
    if (req.text === "fail") throw new Error("defect");
    context.signal.addEventListener("abort", () => seen.aborted++);
    if (req.waitMs) await sleep(req.waitMs, context.signal);
    return { text: req.text, remainingMs: context.remainingMs };
  });
  server.handleStream(count, async function* (req, context) {
    context.signal.addEventListener("abort", () => seen.aborted++);
    for (let n = 0; n < req.to; n++) {
      yield { n };
      if (n > 1_000) await sleep(5, context.signal);
    }
  });
  const address = await server.listen();
  t.teardown(() => server.stop(0));
  return { address, server, seen };
}

function startPool(t: ExecutionContext, tls: PeerTls = "off", idleCloseMs?: number) {
  const pool = createPeerPool({ tls, clock, metrics, idleCloseMs });
  t.teardown(() => pool.close());
  return pool;
}

/** A TCP proxy; `silence` drops all further traffic of the connections that are open now. */
async function startProxy(t: ExecutionContext, target: string) {
  const sockets = new Set<Socket>();
  const silent = new Set<Socket>();
  let accepted = 0;
  const server: Server = createServer((front) => {
    accepted++;
    const back = connect(Number(target.split(":")[1]), "127.0.0.1");
    for (const [from, to] of [[front, back], [back, front]] as const) {
      sockets.add(from);
      from.on("data", (data) => silent.has(from) || to.write(data));
      from.on("error", () => {});
      from.on("close", () => silent.has(from) || to.destroy());
    }
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return {
    address: `127.0.0.1:${(server.address() as { port: number }).port}`,
    accepted: () => accepted,
    silence: () => sockets.forEach((socket) => silent.add(socket)),
  };
}

const failure = (t: ExecutionContext, promise: Promise<unknown>) =>
  t.throwsAsync(promise, { instanceOf: PeerError }) as Promise<PeerError>;

test("calls and streams share one connection, and unknown fields are ignored", async (t) => {
  const { address } = await startServer(t);
  const proxy = await startProxy(t, address);
  const pool = startPool(t);
  const newer = { text: "a", added: true };
  const answers = await Promise.all(
    [1, 2, 3].map(() => pool.call(proxy.address, echo, newer, { timeoutMs: 60_000 })),
  );
  t.true(answers.every(({ text, remainingMs }) => text === "a" && remainingMs <= 60_000));
  const numbers = [];
  for await (const { n } of pool.stream(proxy.address, count, { to: 3 }, { timeoutMs: 60_000 })) {
    numbers.push(n);
  }
  t.deepEqual(numbers, [0, 1, 2]);
  t.is(proxy.accepted(), 1);
  t.true(pool.traffic().Test!.sentBytes > 0);
});

test("a refusal keeps its code and detail, and a handler's error leaves the outcome unknown", async (t) => {
  const { address } = await startServer(t);
  const pool = startPool(t);
  const refusal = await t.throwsAsync(
    pool.call(address, echo, { text: "refuse" }, { timeoutMs: 60_000 }),
    { instanceOf: PeerRefusal },
  ) as PeerRefusal;
  t.deepEqual([refusal.code, refusal.detail], ["busy", { retryAfterMs: 40 }]);
  const defect = await failure(
    t,
    pool.call(address, echo, { text: "fail" }, { timeoutMs: 60_000 }),
  );
  t.deepEqual([defect.ran, defect.reason], ["unknown", "handler_failed"]);
});

test("an invalid request and an unknown method are reported as not run", async (t) => {
  const { address, seen } = await startServer(t);
  const pool = startPool(t);
  const wrong = definePeerMethod({ ...echo, service: "Test", name: "Echo", req: z.unknown() });
  const bad = await failure(t, pool.call(address, wrong, { text: 4 }, { timeoutMs: 60_000 }));
  t.deepEqual([bad.ran, bad.reason], ["not_run", "bad_request"]);
  const absent = definePeerMethod({ ...echo, service: "Test", name: "Absent" });
  const unknown = await failure(t, pool.call(address, absent, { text: "" }, { timeoutMs: 60_000 }));
  t.deepEqual([unknown.ran, unknown.reason], ["not_run", "unimplemented"]);
  t.is(seen.calls, 0);
});

test("a call without a connection is reported as not run, and the next one reconnects", async (t) => {
  const { address, server } = await startServer(t);
  const pool = startPool(t);
  await pool.call(address, echo, { text: "a" }, { timeoutMs: 60_000 });
  await server.stop(0);
  const refused = await failure(t, pool.call(address, echo, { text: "a" }, { timeoutMs: 60_000 }));
  t.deepEqual([refused.ran, refused.reason], ["not_run", "connect_failed"]);
  await startServer(t, "off", address);
  const res = await pool.call(address, echo, { text: "back" }, { timeoutMs: 60_000 });
  t.is(res.text, "back");
});

test("the deadline and the caller's signal end the call and the handler", async (t) => {
  const { address, seen } = await startServer(t);
  const pool = startPool(t);
  await pool.call(address, echo, { text: "a" }, { timeoutMs: 60_000 });
  const slow = { text: "a", waitMs: 600_000 };
  const late = await failure(t, pool.call(address, echo, slow, { timeoutMs: 300 }));
  t.deepEqual([late.ran, late.reason], ["unknown", "timeout"]);
  const controller = new AbortController();
  const cancelled = failure(
    t,
    pool.call(address, echo, slow, { timeoutMs: 60_000, signal: controller.signal }),
  );
  while (seen.calls < 3) await sleep(5);
  controller.abort();
  t.is((await cancelled).reason, "cancelled");
  while (seen.aborted < 2) await sleep(5);
  const early = await failure(t, pool.call(address, echo, slow, { timeoutMs: 0 }));
  t.deepEqual([early.ran, seen.calls], ["not_run", 3]);
});

test("a consumer that stops reading a stream ends its handler", async (t) => {
  const { address, seen } = await startServer(t);
  const pool = startPool(t);
  for await (
    const { n } of pool.stream(address, count, { to: 1e9 }, { timeoutMs: Infinity })
  ) if (n > 10) break;
  while (seen.aborted < 1) await sleep(5);
  t.pass();
});

test("a server that dies during a call leaves the outcome unknown", async (t) => {
  const { address, server, seen } = await startServer(t);
  const pool = startPool(t);
  const call = failure(
    t,
    pool.call(address, echo, { text: "a", waitMs: 600_000 }, { timeoutMs: 60_000 }),
  );
  while (seen.calls < 1) await sleep(5);
  await server.stop(0);
  t.is((await call).ran, "unknown");
});

test("an unresponsive connection fails its calls in time, is replaced and delays no other", async (t) => {
  const { address } = await startServer(t);
  const other = await startServer(t);
  const proxy = await startProxy(t, address);
  const pool = startPool(t);
  await pool.call(proxy.address, echo, { text: "a" }, { timeoutMs: 60_000 });
  proxy.silence();
  const startMs = clock.nowMs();
  const lost = failure(t, pool.call(proxy.address, echo, { text: "a" }, { timeoutMs: 60_000 }));
  await pool.call(other.address, echo, { text: "b" }, { timeoutMs: 60_000 });
  const err = await lost;
  t.deepEqual([err.ran, err.reason], ["unknown", "connection_lost"]);
  // Ping interval and timeout add up to 4 s; the rest allows for a slow machine.
  t.true(clock.nowMs() - startMs < 10_000);
  const res = await pool.call(proxy.address, echo, { text: "new" }, { timeoutMs: 60_000 });
  t.deepEqual([res.text, proxy.accepted()], ["new", 2]);
});

test("an idle connection is closed", async (t) => {
  const { address } = await startServer(t);
  const proxy = await startProxy(t, address);
  const pool = startPool(t, "off", 20);
  await pool.call(proxy.address, echo, { text: "a" }, { timeoutMs: 60_000 });
  await sleep(300);
  await pool.call(proxy.address, echo, { text: "a" }, { timeoutMs: 60_000 });
  t.is(proxy.accepted(), 2);
});

test("a call to a host that accepts connections but never responds is reported as not run", async (t) => {
  let closed = 0;
  const server = createServer((socket) => {
    socket.resume().on("error", () => {}).on("close", () => closed++);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => void server.close());
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`;
  const pool = startPool(t);
  const startMs = clock.nowMs();
  const err = await failure(t, pool.call(address, echo, { text: "a" }, { timeoutMs: 60_000 }));
  t.deepEqual([err.ran, err.reason], ["not_run", "connect_failed"]);
  t.true(clock.nowMs() - startMs < 10_000);
  // The gRPC library never closes the socket of an unfinished handshake by itself.
  while (closed < 1) await sleep(5);
});

test("mutual TLS accepts every certificate of the CA and rejects all others", async (t) => {
  const { address, seen } = await startServer(t, hostKeys);
  const call = (tls: PeerTls) =>
    startPool(t, tls).call(address, echo, { text: "a" }, { timeoutMs: 60_000 });
  t.is((await call(hostKeys)).text, "a");
  const foreign = { ca: hostKeys.ca, cert: key("foreign"), key: key("foreign_key") };
  await failure(t, call(foreign));
  await failure(t, call("off"));
  const otherCa = { ...hostKeys, ca: key("foreign_ca") };
  t.is((await failure(t, call(otherCa))).ran, "not_run");
  t.is(seen.calls, 1);
});

test("a closed pool fails running and later calls", async (t) => {
  const { address, seen } = await startServer(t);
  const pool = startPool(t);
  const running = failure(
    t,
    pool.call(address, echo, { text: "a", waitMs: 600_000 }, { timeoutMs: 60_000 }),
  );
  while (seen.calls < 1) await sleep(5);
  await pool.close();
  t.is((await running).reason, "cancelled");
  const late = await failure(t, pool.call(address, echo, { text: "a" }, { timeoutMs: 60_000 }));
  t.deepEqual([late.ran, late.reason], ["not_run", "pool_closed"]);
});
