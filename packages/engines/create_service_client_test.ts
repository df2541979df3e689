import { createClock, createMetrics } from "@jaypass/kernel";
import { createServiceStandIn } from "@jaypass/stand_ins";
import type { ServiceFaults, ServiceStandInOptions } from "@jaypass/stand_ins";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createHash } from "node:crypto";
import { createServiceClient, EngineError } from "./mod.ts";
import type { ServiceRequest } from "./mod.ts";

const CALL = { timeoutMs: 10_000, freshConnection: true };

async function start(t: ExecutionContext, options: ServiceStandInOptions = {}) {
  const desk = await createServiceStandIn({ coldMs: 0, serviceMs: 5, restartMs: 100, ...options });
  const metrics = createMetrics({ tags: {} });
  const client = createServiceClient(desk.url, { clock: createClock(), metrics });
  t.teardown(async () => {
    await client.close();
    await desk.stop();
  });
  return { desk, client };
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

test("an answer comes back whole and can be looked up by its key", async (t) => {
  const { desk, client } = await start(t);
  const req = booking("a");
  const res = await client.call(req, CALL);
  const bodyHash = createHash("sha256").update(req.body).digest("hex");
  t.deepEqual(JSON.parse(Buffer.from(res.body).toString()), { operation: "book", bodyHash });
  const { body, ...rest } = await client.lookup("key a", CALL) ?? t.fail() as never;
  t.deepEqual({ ...rest, body: Buffer.from(body) }, { ...res, body: Buffer.from(res.body) });
  t.is(await client.lookup("other", CALL), undefined);
  t.is(desk.log().effects["key a"]?.length, 1);
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
    const { desk, client } = await start(t);
    desk.setFaults({ [fault]: 1 } as ServiceFaults);
    t.is(await failure(t, client.call(booking("a"), CALL)), expected);
    t.is(desk.log().effects["key a"]?.length ?? 0, effects);
    t.is(desk.log().acceptedTotal, 1);
  });
}

test("an answer that never comes is given up at the timeout with an unknown outcome", async (t) => {
  const { desk, client } = await start(t);
  desk.setFaults({ silentAnswerNext: 1 });
  t.is(
    await failure(t, client.call(booking("a"), { ...CALL, timeoutMs: 1_000 })),
    "timeout unknown",
  );
});

test("a fresh connection works while the kept ones are silent", async (t) => {
  const { desk, client } = await start(t);
  const kept = { timeoutMs: 10_000 };
  await Promise.all([client.call(booking("a"), kept), client.call(booking("d"), kept)]);
  // The two connections are free for reuse only after this turn of the event loop.
  await new Promise((resolve) => setTimeout(resolve, 50));
  desk.setFaults({ silence: "open" });
  t.is(await failure(t, client.call(booking("c"), { timeoutMs: 500 })), "timeout unknown");
  t.is((await client.call(booking("b"), CALL)).status, 200);
});

test("refusals by the server and by a closed port have not run", async (t) => {
  const { desk, client } = await start(t);
  desk.setFaults({ refuseAll: true });
  t.is(await failure(t, client.call(booking("a"), CALL)), "overloaded not_run");
  desk.setFaults({ refuseAll: false });
  const beforeSend = () => {
    throw new Error("Grant is void");
  };
  t.is(await failure(t, client.call(booking("b"), { ...CALL, beforeSend })), "aborted not_run");
  await desk.stop();
  t.is(await failure(t, client.call(booking("c"), CALL)), "refused not_run");
  t.deepEqual(desk.log().effects, {});
});

test("a raised fence stops an earlier attempt, also one that is already waiting", async (t) => {
  const { desk, client } = await start(t, { serviceMs: 2_000 });
  const early = failure(t, client.call(booking("a", { fencing: 1 }), CALL));
  while (desk.log().running === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  await client.raiseFence("key a", 2, CALL);
  t.is(await early, "stale_fencing not_run");
  t.is(await failure(t, client.call(booking("a", { fencing: 1 }), CALL)), "stale_fencing not_run");
  t.is(await client.lookup("key a", CALL), undefined);
  t.is(await failure(t, client.raiseFence("key a", 1, CALL)), "stale_fencing not_run");
  t.deepEqual(desk.log().effects, {});
});

test("a server that ignores fencing runs an old attempt", async (t) => {
  const { desk, client } = await start(t, { fencing: "ignored" });
  await client.raiseFence("key a", 2, CALL);
  await client.call(booking("a", { fencing: 1 }), CALL);
  t.is(desk.log().effects["key a"]?.length, 1);
});
