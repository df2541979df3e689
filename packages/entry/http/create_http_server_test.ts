import { createHash } from "node:crypto";
import { once } from "node:events";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { createServer } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { Configuration } from "@jaypass/configuration";
import { createClock } from "@jaypass/kernel";
import type { Logger, Metrics } from "@jaypass/kernel";
import type { Drain, Membership } from "@jaypass/membership";
import { RequestError } from "@jaypass/routing";
import type { Answer, Router } from "@jaypass/routing";
import { parseSettings } from "../settings.ts";
import { createHttpServer } from "./create_http_server.ts";
import type { HttpServerOptions } from "./create_http_server.ts";

const DOCUMENT = {
  models: { "lore-1": { bytesPerToken: 4 } },
  services: {},
  backendServers: {},
  workspaces: {
    school: {
      keyHash: createHash("sha256").update("key").digest("hex"),
      maxConcurrent: 10,
      models: ["lore-1"],
      services: ["booking"],
    },
  },
  dataCentres: { gent: { region: "be", state: "in", oneWayMs: {} } },
  timeouts: {
    default: {
      timeZone: "Europe/Brussels",
      hours: [{ fromHour: 0, toHour: 24, timeoutMs: 5_000, firstTokenMs: 1_000 }],
    },
  },
};

const log = { debug() {}, info() {}, warn() {}, error() {}, child: () => log } as Logger;

/** Creates a router whose answers consist of the given tokens and then end or fail. */
function createFakeRouter(tokens: string[], failure?: RequestError): Partial<Router> {
  return {
    complete: (req) => ({ ...req, tokens, state: "running", promptTokens: 3 } as unknown as Answer),
    async *follow(_id, { from }) {
      for (const [index, text] of tokens.entries()) {
        if (index >= from) yield await Promise.resolve({ index, text });
      }
      if (failure) throw failure;
    },
    callService: (req) =>
      Promise.resolve({
        status: 201,
        contentType: "text/plain",
        body: Buffer.from(`${req.operation} ${req.key}`),
        replayed: false,
      }),
  };
}

async function startHttpServer(
  t: ExecutionContext,
  router: Partial<Router>,
  limits = {},
  timeouts: HttpServerOptions["timeouts"] = {},
) {
  const port = await new Promise<number>((resolve) => {
    const probe = createServer().listen(0, "127.0.0.1", () => {
      const { port } = probe.address() as AddressInfo;
      probe.close(() => resolve(port));
    });
  });
  const url = "http://127.0.0.1:7000";
  let isDraining = false;
  const httpServer = createHttpServer({
    settings: parseSettings({
      host: "h1",
      dataCentre: "gent",
      callerListen: `127.0.0.1:${port}`,
      peerListen: "127.0.0.1:1",
      platform: { tables: url, objects: url, hostList: url, weights: url },
      tls: "off",
      owners: {},
      limits,
    }),
    clock: createClock(),
    configuration: { revision: () => 1, document: () => DOCUMENT } as unknown as Configuration,
    membership: {
      self: () => ({ id: "h1", dataCentre: "gent", callerUrl: `http://127.0.0.1:${port}` }),
      hosts: () => [],
    } as unknown as Membership,
    router: router as Router,
    drain: {
      track: () => () => {},
      accepts: () => true,
      isDraining: () => isDraining,
    } as unknown as Drain,
    mounted: [],
    timeouts,
    log,
    metrics: { increment() {}, timing() {}, gauge() {} } as unknown as Metrics,
  });
  await httpServer.listen();
  let stopped: Promise<void> | undefined;
  const stop = () => {
    isDraining = true;
    return stopped ??= httpServer.stop();
  };
  t.teardown(stop);
  return { port, base: `http://127.0.0.1:${port}`, stop };
}

const CALL = "POST /v1/services/booking/book HTTP/1.1\r\nhost: h\r\n" +
  "authorization: Bearer key\r\ncontent-length: 2\r\n\r\n{}";

/**
 * Opens a connection, which has the first request answered if it is a used one. The status of an
 * answer, or the error in its place, is awaited for 5 s.
 */
async function openConnection(port: number, { isUsed }: { isUsed: boolean }) {
  // A caller that has not seen the end of its connection may still send on it.
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true }).setNoDelay(true);
  let text = "";
  socket.on("data", (chunk) => text += chunk).on("error", (err) => text += err.message);
  const readAnswer = async () => {
    for (let at = 0; text === "" && !socket.closed && at < 500; at++) await wait(10);
    return /^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? (text || "no answer");
  };
  await once(socket, "connect");
  if (isUsed) {
    socket.write(CALL);
    await once(socket, "data");
    text = "";
  }
  return {
    send: (text = CALL) => void socket.write(text),
    readAnswer,
    destroy: () => socket.destroy(),
  };
}

/** Blocks the process. */
function stall(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

const CHAT = { model: "lore-1", messages: [{ role: "user", content: "Is there milk?" }] };

async function post(base: string, body: unknown, headers: Record<string, string> = {}) {
  const res = await fetch(`${base}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: "Bearer key", ...headers },
    body: typeof body === "string" ? body : JSON.stringify(body),
  });
  const text = await res.text();
  return { status: res.status, text: text.replaceAll(/h1~\w+~\w+~[\w-]+/g, "ID") };
}

const LARGE_BODY = Buffer.alloc(4_000_000, "x");

/** Sends a request with a large body, reads the answer after it, and returns its text or an error. */
function sendThenRead(port: number, head: string): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    const socket = connect(port, "127.0.0.1", () => {
      socket.write(head);
      socket.write(LARGE_BODY, (err) => {
        if (err) resolve(err.message);
        else socket.on("data", (chunk) => text += chunk);
      });
    });
    socket.on("error", (err) => resolve(err.message)).on("close", () => resolve(text));
  });
}

function replaceCreatedTime(text: string): string {
  return text.replaceAll(/"created":\d+/g, '"created":0');
}

test("an answer is complete as a stream and as one JSON body", async (t) => {
  const { base } = await startHttpServer(t, createFakeRouter(["No", " milk"]));
  const streamed = await post(base, { ...CHAT, stream: true });
  const whole = await post(base, CHAT);
  t.snapshot([replaceCreatedTime(streamed.text), replaceCreatedTime(whole.text)]);
});

test("a stream that fails ends with an error event and without [DONE]", async (t) => {
  const failure = new RequestError("Engine died", { reason: "engine_failed", ran: "ran" });
  const { base } = await startHttpServer(t, createFakeRouter(["No"], failure));
  const { text } = await post(base, { ...CHAT, stream: true });
  t.snapshot(replaceCreatedTime(text));
  t.false(text.includes("[DONE]"));
});

test("a refusal before the first token sets the status, the reason and the retry time", async (t) => {
  const failure = new RequestError("Workspace has 10 requests running", {
    reason: "workspace_limit",
    ran: "not_run",
    retryAfterMs: 1_500,
  });
  const { base } = await startHttpServer(t, createFakeRouter([], failure));
  t.snapshot(await post(base, { ...CHAT, stream: true }));
});

test("an invalid request is refused with an error that names its cause and reports that nothing ran", async (t) => {
  const { base } = await startHttpServer(t, createFakeRouter(["No"]), { maxBodyBytes: 2_048 });
  t.snapshot([
    await post(base, "{"),
    await post(base, { ...CHAT, messages: [] }),
    await post(base, { ...CHAT, max_tokens: "many" }),
    await post(base, { ...CHAT, model: "other" }),
    await post(base, CHAT, { authorization: "Bearer wrong" }),
    await post(base, CHAT, { "x-timeout-ms": "soon" }),
    await post(base, CHAT, { "x-caller-kind": "ghost" }),
    await post(base, "x".repeat(4_096)),
  ]);
});

test("a missing and a wrong key get the same response", async (t) => {
  const { base } = await startHttpServer(t, createFakeRouter([]));
  const wrong = await post(base, CHAT, { authorization: "Bearer wrong" });
  const missing = await post(base, CHAT, { authorization: "" });
  t.deepEqual(wrong, missing);
});

test("a body that is not complete within the body timeout is refused", async (t) => {
  const { port } = await startHttpServer(t, createFakeRouter([]), { bodyTimeoutMs: 200 });
  const answer = await new Promise<string>((resolve) => {
    const socket = connect(port, "127.0.0.1", () => {
      socket.write(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key\r\n" +
          "content-length: 100\r\n\r\n{",
      );
    });
    let text = "";
    socket.on("data", (chunk) => text += chunk).on("close", () => resolve(text));
  });
  t.regex(answer, /408 Request Timeout[^]*"reason":"body_timeout","ran":"not_run"/);
});

test("a body that exceeds the memory budget of the host is refused and a smaller one is served", async (t) => {
  const { base } = await startHttpServer(t, createFakeRouter(["No"]), { maxHeldBytes: 1_024 });
  const large = { ...CHAT, messages: [{ role: "user", content: "x".repeat(2_000) }] };
  const refused = await post(base, large);
  const served = await post(base, CHAT);
  t.deepEqual([refused.status, JSON.parse(refused.text).error.reason], [503, "host_busy"]);
  t.is(served.status, 200);
});

test("a call to a service forwards its idempotency key and returns the answer of the service", async (t) => {
  const { base } = await startHttpServer(t, createFakeRouter([]));
  const res = await fetch(`${base}/v1/services/booking/book`, {
    method: "POST",
    headers: { authorization: "Bearer key", "idempotency-key": "spot-7" },
    body: "{}",
  });
  t.deepEqual([res.status, await res.text()], [201, "book spot-7"]);
});

for (
  const { title, key, limits } of [
    { title: "is too large", key: "key", limits: { maxBodyBytes: 2_048 } },
    { title: "comes with a wrong key", key: "wrong", limits: {} },
  ]
) {
  test(`a caller whose body ${title} gets the refusal although it reads after sending`, async (t) => {
    const { port } = await startHttpServer(t, createFakeRouter([]), limits);
    const head = "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n" +
      `authorization: Bearer ${key}\r\ncontent-length: ${LARGE_BODY.length}\r\n\r\n`;
    const answers = await Promise.all(Array.from({ length: 10 }, () => sendThenRead(port, head)));
    t.deepEqual(
      answers.filter((answer) => !/^HTTP\/1.1 4[^]*"ran":"not_run"\}\}$/.test(answer)),
      [],
    );
  });
}

for (
  const { title, isUsed, timeouts } of [
    {
      title: "the idle timeout",
      isUsed: true,
      // Node.js closes after another second.
      timeouts: { keepAliveTimeout: 1 },
    },
    {
      title: "the header timeout",
      isUsed: false,
      timeouts: { headersTimeout: 1_000, connectionsCheckingInterval: 50 },
    },
  ]
) {
  test.serial(`a request that arrives before ${title} is answered although the process stalls`, async (t) => {
    const { port } = await startHttpServer(t, createFakeRouter([]), {}, timeouts);
    const caller = await openConnection(port, { isUsed });
    t.teardown(caller.destroy);
    await wait(700);
    caller.send();
    stall(1_000);
    t.is(await caller.readAnswer(), "201");
  });
}

test("a whole request is answered although bytes that are no request follow it", async (t) => {
  const { port } = await startHttpServer(t, {
    async callService() {
      await wait(300);
      return { status: 201, contentType: "text/plain", body: Buffer.from("done"), replayed: false };
    },
  });
  const caller = await openConnection(port, { isUsed: false });
  t.teardown(caller.destroy);
  caller.send();
  await wait(100);
  caller.send("no request\r\n\r\n");
  t.is(await caller.readAnswer(), "201");
});

for (const isUsed of [true, false]) {
  const title = isUsed ? "a kept" : "a new";
  test(`a request that has arrived on ${title} connection is answered when the server stops`, async (t) => {
    const { port, stop } = await startHttpServer(t, createFakeRouter([]));
    const caller = await openConnection(port, { isUsed });
    t.teardown(caller.destroy);
    caller.send();
    await stop();
    t.is(await caller.readAnswer(), "201");
  });

  test(`a request that crosses the stop on ${title} connection gets a refusal and is not run`, async (t) => {
    let callCount = 0;
    const router = createFakeRouter([]);
    const callService: Router["callService"] = (req) => {
      callCount += 1;
      return router.callService!(req);
    };
    const { port, stop } = await startHttpServer(t, { callService });
    const caller = await openConnection(port, { isUsed });
    t.teardown(caller.destroy);
    const countBefore = callCount;
    const stopped = stop();
    t.is(await caller.readAnswer(), "408");
    caller.send();
    await stopped;
    t.is(callCount, countBefore);
  });
}

test("connections that wait to be accepted are served when the server stops", async (t) => {
  const { port, stop } = await startHttpServer(t, createFakeRouter([]));
  const pending = Array.from({ length: 20 }, async () => {
    const caller = await openConnection(port, { isUsed: false });
    caller.send();
    return await caller.readAnswer();
  });
  // The connects reach the operating system, and nothing is accepted yet.
  await new Promise<void>((resolve) => process.nextTick(resolve));
  const stopped = stop();
  const answers = await Promise.all(pending.map((answer) => answer.catch(String)));
  await stopped;
  t.deepEqual(answers.filter((answer) => !["201", "408"].includes(answer)), []);
});

test("connections without a request do not hold the stop of the server", async (t) => {
  const { port, stop } = await startHttpServer(t, createFakeRouter([]));
  const caller = await openConnection(port, { isUsed: false });
  t.teardown(caller.destroy);
  const hasStopped = await Promise.race([stop().then(() => true), wait(5_000, false)]);
  caller.destroy();
  t.true(hasStopped);
});

// Limits on callers must not meet a proper one, however its bytes are cut.
test("a chat completion is served at once as well as in chunks of one byte and one byte a packet", async (t) => {
  const { port } = await startHttpServer(t, createFakeRouter(["No"]));
  const head = "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key\r\n" +
    "connection: close\r\n";
  const body = JSON.stringify(CHAT);
  const chunked = `${head}transfer-encoding: chunked\r\n\r\n` +
    [...body].map((byte) => `1\r\n${byte}\r\n`).join("") + "0\r\n\r\n";
  const whole = `${head}content-length: ${body.length}\r\n\r\n${body}`;
  const send = async (parts: Iterable<string>) => {
    const socket = connect({ port, host: "127.0.0.1", noDelay: true });
    const answer = once(socket, "data").then(([text]) => String(text).split("\r\n", 1)[0]);
    for (const part of parts) {
      await new Promise<void>((resolve) => socket.write(part, () => resolve()));
    }
    return answer;
  };
  for (const text of [whole, chunked]) {
    t.is(await send([text]), "HTTP/1.1 200 OK");
    t.is(await send(text), "HTTP/1.1 200 OK");
  }
});

test("empty lines without end get a refusal that is true", async (t) => {
  const { port } = await startHttpServer(t, createFakeRouter([]));
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write("\r\n".repeat(40_000));
  const [answer] = await once(socket, "data");
  t.regex(String(answer), /^HTTP\/1.1 431 /);
});
