import { createClock, createMetrics } from "@jaypass/kernel";
import { createEngineStandIn, expectedTokens } from "@jaypass/stand_ins";
import type { EngineStandIn, EngineStandInOptions } from "@jaypass/stand_ins";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { createEngineClient, EngineError, hashPrefixBlocks } from "./mod.ts";
import type { EngineClient, EngineEvent, EngineRequest } from "./mod.ts";

const LIMITS = { timeoutMs: 20_000, idleTimeoutMs: 10_000 };
const CALL = { timeoutMs: 10_000 };

function connect(t: ExecutionContext, url: string): EngineClient {
  const metrics = createMetrics({ tags: {} });
  const client = createEngineClient(url, { clock: createClock(), metrics });
  t.teardown(() => client.close());
  return client;
}

async function start(
  t: ExecutionContext,
  options: EngineStandInOptions = {},
): Promise<{ engine: EngineStandIn; client: EngineClient }> {
  const engine = await createEngineStandIn({
    coldMs: 0,
    restartMs: 100,
    loadLagMs: 0,
    cacheEventLagMs: 0,
    keepAliveMs: 100,
    timeScale: 50,
    ...options,
  });
  t.teardown(() => engine.stop());
  return { engine, client: connect(t, engine.url) };
}

function request(requestId: string, changes: Partial<EngineRequest> = {}): EngineRequest {
  return {
    requestId,
    model: "default",
    prompt: "A short prompt",
    generated: [],
    maxTokens: 8,
    priority: 0,
    fencing: 1,
    ...changes,
  };
}

async function collect(events: AsyncIterable<EngineEvent>, received: EngineEvent[] = []) {
  for await (const event of events) received.push(event);
  return received;
}

const texts = (events: EngineEvent[]) =>
  events.flatMap((event) => event.type === "token" ? [event.text] : []);

async function failureOf(t: ExecutionContext, events: AsyncIterable<EngineEvent>) {
  const received: EngineEvent[] = [];
  const err = await t.throwsAsync(() => collect(events, received), { instanceOf: EngineError });
  t.false(received.some((event) => event.type === "end"), "a failed stream must not look complete");
  return { code: err?.code, ran: err?.ran, received: texts(received) };
}

/** Starts a server that writes exactly the given bytes on each connection. */
async function startRaw(
  t: ExecutionContext,
  answer: (write: (text: string) => void, end: () => void) => void,
) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer((text) => socket.write(text), () => socket.end()));
    t.teardown(() => socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  return connect(t, `http://127.0.0.1:${(server.address() as AddressInfo).port}`);
}

test("a completion is streamed completely and can be continued from its generated tokens", async (t) => {
  const { engine, client } = await start(t);
  const expected = expectedTokens("A short prompt", 8);
  let restartCount = -1;
  const onAccepted = (count: number) => (restartCount = count);
  const whole = await collect(client.complete(request("whole"), { ...LIMITS, onAccepted }));
  const rest = await collect(
    client.complete(request("rest", { generated: expected.slice(0, 5) }), LIMITS),
  );
  t.deepEqual(texts(whole), expected);
  t.is(restartCount, 0);
  t.deepEqual(texts(rest), expected.slice(5));
  t.deepEqual(rest.at(-1), { type: "end", requestId: "rest", totalTokens: 8, cachedTokens: 0 });
  t.false(engine.log().accepted.some((record) => record.foreignTokens));
});

test("a running and a finished request can be resumed from a token index", async (t) => {
  const { engine, client } = await start(t);
  engine.setFaults({ breakNext: 1 });
  const broken = await failureOf(t, client.complete(request("r"), LIMITS));
  t.is(broken.code, "died");
  const rest = await collect(client.resume("r", broken.received.length, LIMITS));
  t.deepEqual([...broken.received, ...texts(rest)], expectedTokens("A short prompt", 8));
  t.deepEqual(texts(await collect(client.resume("r", 6, LIMITS))), texts(rest).slice(-2));
});

for (
  const [fault, code] of [
    ["crossNext", "crossed"],
    ["gapNext", "protocol"],
    ["duplicateNext", "protocol"],
    ["cutNext", "cut"],
    ["breakNext", "died"],
    ["wrongTotalNext", "cut"],
  ] as const
) {
  test(`the fault ${fault} is not reported as a complete answer`, async (t) => {
    const { engine, client } = await start(t);
    engine.setFaults({ [fault]: 1 });
    const failure = await failureOf(t, client.complete(request("r"), LIMITS));
    t.is(failure.code, code);
    t.not(failure.ran, "not_run");
    const expected = expectedTokens("A short prompt", 8);
    t.deepEqual(failure.received, expected.slice(0, failure.received.length));
  });
}

test("a last line without a newline and an unfinished chunk are reported as truncated", async (t) => {
  const events = ["token", "end"].map((type) =>
    JSON.stringify({ type, requestId: "r", index: 0, text: "a", totalTokens: 1, cachedTokens: 0 })
  );
  const head = "HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\n";
  const bodies = [`${head}connection: close\r\n\r\n${events[0]}\n${events[1]}`];
  bodies.push(`${head}transfer-encoding: chunked\r\n\r\nff\r\n${events[0]}\n`);
  for (const body of bodies) {
    const client = await startRaw(t, (write, end) => {
      write(body);
      end();
    });
    const { code, ran } = await failureOf(t, client.complete(request("r"), LIMITS));
    t.true(code === "cut" || code === "died");
    t.not(ran, "not_run");
  }
});

test("an unresponsive connection times out while another to the same engine works", async (t) => {
  const { engine, client } = await start(t, { msPerOutputToken: 500, timeScale: 1 });
  const limits = { timeoutMs: 60_000, idleTimeoutMs: 2_000 };
  const first = client.complete(request("first"), limits)[Symbol.asyncIterator]();
  await first.next();
  engine.setFaults({ silence: "open" });
  const second = collect(client.complete(request("second"), { ...LIMITS, timeoutMs: 60_000 }));
  const err = await t.throwsAsync(async () => {
    while (!(await first.next()).done);
  }, { instanceOf: EngineError });
  t.is(err?.code, "silent");
  t.deepEqual(texts(await second), expectedTokens("A short prompt", 8));
});

test("progress events prevent an idle timeout during a long prefill", async (t) => {
  const { client } = await start(t, { prefillTokensPerSecond: 10_000, timeScale: 1 });
  const limits = { timeoutMs: 60_000, idleTimeoutMs: 2_000 };
  const prompt = "x".repeat(4 * 30_000);
  const received = await collect(client.complete(request("r", { prompt }), limits));
  t.deepEqual(texts(received), expectedTokens(prompt, 8));
});

test("only a request that cannot have run is reported as not run", async (t) => {
  const { engine, client } = await start(t, { memoryTokens: 2_048 });
  const outcome = async (events: AsyncIterable<EngineEvent>) => {
    const { code, ran } = await failureOf(t, events);
    return `${code} ${ran}`;
  };
  const large = "x".repeat(4 * 4_096);
  t.is(
    await outcome(client.complete(request("large", { prompt: large }), LIMITS)),
    "rejected not_run",
  );
  engine.setFaults({ refuseAll: true });
  t.is(await outcome(client.complete(request("refused"), LIMITS)), "overloaded not_run");
  engine.setFaults({ refuseAll: false, dropNext: 1 });
  t.is(await outcome(client.complete(request("dropped"), LIMITS)), "died unknown");
  t.is(engine.log().accepted.filter((record) => record.requestId === "dropped").length, 1);
  engine.setFaults({ silence: "open" });
  const limits = { timeoutMs: 500, idleTimeoutMs: 60_000 };
  engine.setFaults({ silence: "all" });
  t.is(await outcome(client.complete(request("silent"), limits)), "timeout unknown");
  await engine.stop();
  t.is(await outcome(client.complete(request("down"), LIMITS)), "refused not_run");
  const acceptedIds = engine.log().accepted.map((record) => record.requestId);
  for (const id of ["large", "refused", "down"]) t.false(acceptedIds.includes(id));
});

test("a refusal that names another request or none does not prove that the request did not run", async (t) => {
  for (const [requestId, code] of [["other", "crossed"], [undefined, "overloaded"]] as const) {
    const body = JSON.stringify({ error: { code: "overloaded", ran: "not_run", requestId } });
    const client = await startRaw(
      t,
      (write) => write(`HTTP/1.1 503 Busy\r\ncontent-length: ${body.length}\r\n\r\n${body}`),
    );
    const failure = await failureOf(t, client.complete(request("mine"), LIMITS));
    t.deepEqual([failure.code, failure.ran], [code, "unknown"]);
  }
});

test("a refusal of a call without an id does not prove that the call did not run", async (t) => {
  const body = JSON.stringify({ error: { code: "stale_fencing", ran: "not_run" } });
  const client = await startRaw(
    t,
    (write) => write(`HTTP/1.1 409 Stale\r\ncontent-length: ${body.length}\r\n\r\n${body}`),
  );
  const order = { kind: "set_version", name: "default", version: "2", fencing: 1 } as const;
  const err = await t.throwsAsync<EngineError>(() => client.order(order, CALL));
  t.deepEqual([err?.code, err?.ran], ["stale_fencing", "unknown"]);
});

test("a throwing beforeSend and an already aborted signal prevent the send", async (t) => {
  const { engine, client } = await start(t);
  const cause = new Error("Dispatch window passed");
  const beforeSend = () => {
    throw cause;
  };
  const err = await t.throwsAsync(
    () => collect(client.complete(request("a"), { ...LIMITS, beforeSend })),
    { instanceOf: EngineError },
  );
  t.is(err?.ran, "not_run");
  t.is(err?.cause, cause);
  const aborted = { ...LIMITS, signal: AbortSignal.abort() };
  t.is((await failureOf(t, client.complete(request("b"), aborted))).ran, "not_run");
  t.is(engine.log().acceptedTotal, 0);
});

test("an aborted, timed out or abandoned stream frees its memory on the engine", async (t) => {
  const { engine, client } = await start(t, { msPerOutputToken: 100_000 });
  const long = (id: string) => request(id, { maxTokens: 1_000 });
  const controller = new AbortController();
  const aborted = client.complete(long("abort"), { ...LIMITS, signal: controller.signal });
  const iterator = aborted[Symbol.asyncIterator]();
  await iterator.next();
  controller.abort();
  await t.throwsAsync(() => iterator.next(), { instanceOf: EngineError });
  for await (const _event of client.complete(long("left"), LIMITS)) break;
  await failureOf(t, client.complete(long("timeout"), { ...LIMITS, timeoutMs: 300 }));
  await client.close();
  t.is(engine.log().heldTokens, 0);
  // On a slow machine the last call may time out before it is written.
  t.true(engine.log().acceptedTotal >= 2);
  t.true(engine.log().accepted.every((record) => record.outcome === "cancelled"));
});

test("memory stays held after the connection breaks, until the request is cancelled", async (t) => {
  const { engine, client } = await start(t);
  engine.setFaults({ dropNext: 1, stuckNext: 1 });
  await failureOf(t, client.complete(request("r"), LIMITS));
  const [held] = await client.active(CALL);
  t.is(held?.requestId, "r");
  t.not(held?.state, "finished");
  await client.cancel("r", CALL);
  await client.cancel("unknown", CALL);
  t.is(engine.log().heldTokens, 0);
  // A coordinator counts listed requests as load of other hosts, so an ended one must not be
  // listed.
  t.deepEqual(await client.active(CALL), []);
});

test("a prompt that does not fit on one engine is prefilled on two", async (t) => {
  const options = { memoryTokens: 8_192 };
  const [first, second] = [await start(t, options), await start(t, options)];
  const req = request("r", { prompt: "word ".repeat(4_000 * 4 * 3 / 5) });
  await t.throwsAsync(() => collect(first.client.complete(req, LIMITS)));
  const split = 8_192;
  const skipped = second.client.prefill(req, { fromToken: split, toToken: 12_000 }, CALL);
  t.is((await t.throwsAsync<EngineError>(() => skipped))?.reason, "missing_kv");
  await first.client.prefill(req, { fromToken: 0, toToken: split }, CALL);
  await second.client.importKv("r", await first.client.exportKv("r", CALL), CALL);
  t.deepEqual(
    texts(await collect(second.client.complete(req, LIMITS))),
    expectedTokens(req.prompt, 8),
  );
  t.is(first.engine.log().heldTokens, split);
  await first.client.cancel("r", CALL);
  t.is(first.engine.log().heldTokens, 0);
  t.true(second.engine.log().highestUsedTokens <= 8_192);
});

test("a shared prefix is served from the cache and reported in the cache events", async (t) => {
  const { client } = await start(t, { cacheEventLagMs: 0 });
  const prompt = "x".repeat(4 * 3_000);
  await collect(client.complete(request("a", { prompt }), LIMITS));
  const again = await collect(client.complete(request("b", { prompt: prompt + "y" }), LIMITS));
  t.is((again.at(-1) as { cachedTokens: number }).cachedTokens, 2_048);
  const events = await client.cacheEvents(0, CALL);
  t.deepEqual(events.map((event) => event.block), hashPrefixBlocks(prompt, 4));
  t.is((await client.cacheEvents(1, CALL)).length, 1);
});

test("a command with an old fencing number is refused unless the engine ignores fencing numbers", async (t) => {
  const order = { kind: "set_version", name: "default", version: "2", fencing: 2 } as const;
  const checked = await start(t);
  await checked.client.order(order, CALL);
  const stale = checked.client.order({ ...order, fencing: 1 }, CALL);
  t.is((await t.throwsAsync<EngineError>(() => stale))?.code, "stale_fencing");
  const ignored = await start(t, { fencing: "ignored" });
  await ignored.client.order(order, CALL);
  await t.notThrowsAsync(() => ignored.client.order({ ...order, fencing: 1 }, CALL));
  t.is((await checked.client.load(CALL)).models.default, "2");
});

/** Answers of an engine to a request that continues after two tokens. */
const WRONG_CONTINUATIONS: Record<string, [status: string, body: string]> = {
  "JSON error": ["200 OK", '{"error":{"code":"failed","ran":"ran"}}\n'],
  "HTML": ["200 OK", "<p>failed</p>\n"],
  "head and text": ["200 OK", "HTTP/1.1 502 Bad Gateway\r\n\r\nfailed\n"],
  "no events": ["200 OK", ""],
  "beginning of an event": ["200 OK", '{"type":"token","requestId":"r","index":2,"te'],
  "later token": ["200 OK", '{"type":"token","requestId":"r","index":3,"text":"x"}\n'],
  "repeated token": ["200 OK", '{"type":"token","requestId":"r","index":1,"text":"x"}\n'],
  "other request": ["200 OK", '{"type":"token","requestId":"q","index":2,"text":"x"}\n'],
  "end of a shorter answer": [
    "200 OK",
    '{"type":"end","requestId":"r","totalTokens":1,"cachedTokens":0}\n',
  ],
  "end of a longer answer": [
    "200 OK",
    '{"type":"end","requestId":"r","totalTokens":3,"cachedTokens":0}\n',
  ],
  "204": ["204 No Content", ""],
  "206": ["206 Partial Content", '{"type":"token","requestId":"r","index":2,"text":"x"}\n'],
  "302": ["302 Found", "failed"],
  "400": ["400 Bad Request", "failed"],
  "500": ["500 Failed", "failed"],
};

test("an answer that does not continue a stream adds no token to it and does not end it", async (t) => {
  const results: Record<string, object> = {};
  for (const [name, [status, body]] of Object.entries(WRONG_CONTINUATIONS)) {
    const length = status.startsWith("204") ? "" : `content-length: ${body.length}\r\n`;
    const client = await startRaw(
      t,
      (write) => write(`HTTP/1.1 ${status}\r\n${length}\r\n${body}`),
    );
    const continued = client.complete(request("r", { generated: ["a", "b"] }), LIMITS);
    const resumed = client.resume("r", 2, LIMITS);
    results[name] = {
      continued: await failureOf(t, continued),
      resumed: await failureOf(t, resumed),
    };
  }
  t.snapshot(results);
});
