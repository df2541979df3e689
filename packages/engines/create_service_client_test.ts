import { createClock, createMetrics } from "@jaypass/kernel";
import { createServiceStandIn } from "@jaypass/stand_ins";
import type { ServiceFaults, ServiceStandInOptions } from "@jaypass/stand_ins";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createHash } from "node:crypto";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createServiceClient, EngineError } from "./mod.ts";
import type { ServiceRequest } from "./mod.ts";

const CALL = { timeoutMs: 10_000, freshConnection: true };

async function start(t: ExecutionContext, options: ServiceStandInOptions = {}) {
  const service = await createServiceStandIn({
    coldMs: 0,
    serviceMs: 5,
    restartMs: 100,
    ...options,
  });
  const metrics = createMetrics({ tags: {} });
  const client = createServiceClient(service.url, { clock: createClock(), metrics });
  t.teardown(async () => {
    await client.close();
    await service.stop();
  });
  return { service, client };
}

function booking(requestId: string, changes: Partial<ServiceRequest> = {}): ServiceRequest {
  const body = Buffer.from(`{"guest":"${requestId}"}`);
  const contentType = "application/json";
  return { requestId, operation: "book", body, contentType, key: `key ${requestId}`, ...changes };
}

const failure = async (t: ExecutionContext, call: Promise<unknown>) => {
  const err = await t.throwsAsync<EngineError>(() => call, { instanceOf: EngineError });
  return `${err?.code} ${err?.ran}`;
};

test("an answer is returned completely and can be looked up by its key", async (t) => {
  const { service, client } = await start(t);
  const req = booking("a");
  const res = await client.call(req, CALL);
  const bodyHash = createHash("sha256").update(req.body).digest("hex");
  t.deepEqual(JSON.parse(Buffer.from(res.body).toString()), { operation: "book", bodyHash });
  const { body, ...rest } = await client.lookup("key a", CALL) ?? t.fail() as never;
  t.deepEqual({ ...rest, body: Buffer.from(body) }, { ...res, body: Buffer.from(res.body) });
  t.is(await client.lookup("other", CALL), undefined);
  t.is(service.log().effects["key a"]?.length, 1);
});

for (
  const [fault, expected, effects] of [
    ["loseAnswerNext", "died unknown", 1],
    ["cutAnswerNext", "died unknown", 1],
    ["crossNext", "crossed unknown", 1],
    ["crashBeforeNext", "died unknown", 0],
    ["crashAfterNext", "died unknown", 1],
  ] as const
) {
  test(`after the fault ${fault} the outcome is unknown and nothing is sent twice`, async (t) => {
    const { service, client } = await start(t);
    service.setFaults({ [fault]: 1 } as ServiceFaults);
    t.is(await failure(t, client.call(booking("a"), CALL)), expected);
    t.is(service.log().effects["key a"]?.length ?? 0, effects);
    t.is(service.log().acceptedTotal, 1);
  });
}

test("a call whose answer never arrives fails at its timeout with an unknown outcome", async (t) => {
  const { service, client } = await start(t);
  service.setFaults({ silentAnswerNext: 1 });
  t.is(
    await failure(t, client.call(booking("a"), { ...CALL, timeoutMs: 1_000 })),
    "timeout unknown",
  );
});

test("a fresh connection works while the keep-alive ones are unresponsive", async (t) => {
  const { service, client } = await start(t);
  const kept = { timeoutMs: 10_000 };
  await Promise.all([client.call(booking("a"), kept), client.call(booking("d"), kept)]);
  // The two connections can be reused only after this turn of the event loop.
  await new Promise((resolve) => setTimeout(resolve, 50));
  service.setFaults({ silence: "open" });
  t.is(await failure(t, client.call(booking("c"), { timeoutMs: 500 })), "timeout unknown");
  t.is((await client.call(booking("b"), CALL)).status, 200);
});

test("a call that the server or a closed port refuses is reported as not run", async (t) => {
  const { service, client } = await start(t);
  service.setFaults({ refuseAll: true });
  t.is(await failure(t, client.call(booking("a"), CALL)), "overloaded not_run");
  service.setFaults({ refuseAll: false });
  const beforeSend = () => {
    throw new Error("Grant is void");
  };
  t.is(await failure(t, client.call(booking("b"), { ...CALL, beforeSend })), "aborted not_run");
  await service.stop();
  t.is(await failure(t, client.call(booking("c"), CALL)), "refused not_run");
  t.deepEqual(service.log().effects, {});
});

test("a raised fencing number stops earlier attempts, including one that is already waiting", async (t) => {
  const { service, client } = await start(t, { serviceMs: 2_000 });
  const early = failure(t, client.call(booking("a", { fencing: 1 }), CALL));
  while (service.log().running === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  await client.raiseFence("key a", 2, CALL);
  t.is(await early, "stale_fencing not_run");
  t.is(await failure(t, client.call(booking("a", { fencing: 1 }), CALL)), "stale_fencing not_run");
  t.is(await client.lookup("key a", CALL), undefined);
  t.is(await failure(t, client.raiseFence("key a", 1, CALL)), "stale_fencing not_run");
  t.deepEqual(service.log().effects, {});
});

test("a server that ignores fencing numbers executes an earlier attempt", async (t) => {
  const { service, client } = await start(t, { fencing: "ignored" });
  await client.raiseFence("key a", 2, CALL);
  await client.call(booking("a", { fencing: 1 }), CALL);
  t.is(service.log().effects["key a"]?.length, 1);
});

/**
 * Starts a server that answers each request, and writes the first answer of a connection once more
 * before each later one.
 */
async function startRepeating(t: ExecutionContext, answers: Record<string, string>) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    let repeated = "";
    sockets.push(socket);
    socket.on("error", () => {});
    socket.setEncoding("utf8").on("data", (text: string) => {
      const id = /^x-request-id: (.*)\r$/m.exec(text)?.[1] ?? text.split(" HTTP")[0] ?? "";
      const answer = answers[id] ?? "";
      socket.write(repeated + answer);
      if (repeated === "") repeated = answer;
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createServiceClient(url, {
    clock: createClock(),
    metrics: createMetrics({ tags: {} }),
  });
  t.teardown(async () => {
    await client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { client, sockets };
}

const KEPT = { timeoutMs: 2_000 };

const json = (status: number, body: unknown, header = "") => {
  const text = JSON.stringify(body);
  return `HTTP/1.1 ${status} x\r\n${header}content-length: ${text.length}\r\n\r\n${text}`;
};

/** Waits until a connection whose answer is complete may be used again. */
const waitForIdle = () => new Promise((resolve) => setTimeout(resolve, 50));

test("a repeated answer that a key has no result does not hide the result of another key", async (t) => {
  const stored = { key: "b", requestId: "r", status: 200, contentType: "", body: "" };
  const { client } = await startRepeating(t, {
    "GET /v1/results/a": json(404, { error: { code: "no_result", ran: "unknown" } }),
    "GET /v1/results/b": json(200, { ...stored, restartCount: 0 }),
  });
  t.is(await client.lookup("a", KEPT), undefined);
  await waitForIdle();
  t.is((await client.lookup("b", KEPT))?.requestId, "r");
});

test("a repeated confirmation of a fencing number does not confirm another one", async (t) => {
  const answers = { "PUT /v1/fences/a": json(200, { requestId: "a" }) };
  const { client } = await startRepeating(t, answers);
  await client.raiseFence("a", 1, KEPT);
  await waitForIdle();
  const error = { code: "stale_fencing", ran: "not_run", requestId: "a" };
  answers["PUT /v1/fences/a"] = json(409, { error });
  t.is(await failure(t, client.raiseFence("a", 2, KEPT)), "stale_fencing not_run");
});

test("a repeated refusal on a kept connection does not prove that the next request did not run", async (t) => {
  const error = { code: "overloaded", ran: "not_run" };
  const cases = [["a", "crossed unknown"], [undefined, "overloaded unknown"]] as const;
  for (const [requestId, expected] of cases) {
    const { client, sockets } = await startRepeating(t, {
      a: json(503, { error: { ...error, requestId } }, "x-refused: overloaded\r\n"),
      b: json(200, {}, "x-request-id: b\r\n"),
    });
    await failure(t, client.call(booking("a"), KEPT));
    await waitForIdle();
    t.is(await failure(t, client.call(booking("b"), KEPT)), expected);
    t.is(sockets.length, 1);
  }
});
