import test from "ava";
import type { ExecutionContext } from "ava";
import { createClock, createDeadline } from "@jaypass/kernel";
import { AdmissionRefusedError } from "@jaypass/admission";
import { EngineError } from "@jaypass/engines";
import { callPlainService } from "./call_plain_service.ts";
import { RequestError } from "../errors.ts";
import type { RouterContext } from "./router_context.ts";

test("an unknown call is looked up under the key that it was sent with", async (t) => {
  const keys: Record<string, string | undefined> = {};
  const client = {
    call: ({ key }: { key?: string }) => {
      keys.sent = key;
      return Promise.reject(new Error("Connection broke"));
    },
    raiseFence: (key: string) => {
      keys.fenced = key;
      return Promise.resolve();
    },
    lookup: (key: string) => {
      keys.lookedUp = key;
      return Promise.resolve({
        status: 200,
        contentType: "text/plain",
        body: Buffer.from("stored"),
      });
    },
  };
  const server = { id: "s1", url: "http://s1", kind: "service", serves: "desk" };
  const context = {
    configuration: {
      document: () => ({
        services: { desk: { resolution: "fence", operations: { book: { idempotent: false } } } },
        backendServers: { s1: server },
      }),
    },
    admission: {
      acquire: () => Promise.resolve({ servers: [server], pool: "desk@gent" }),
      release: () => {},
    },
    decisions: { add: () => {} },
    clock: createClock(),
    serviceFor: () => client,
    // Sends the call once; the outcome is unknown, so that it is resolved with a higher fence.
    ledger: {
      async run(call: Parameters<RouterContext["ledger"]["run"]>[0], signal: AbortSignal) {
        const prepared = await call.prepare(signal);
        await prepared.send(1, signal).catch(() => {});
        return { ...await call.resolve?.(2, signal), replayed: false };
      },
    },
  } as unknown as RouterContext;
  const result = await callPlainService({
    requestId: "r1",
    workspace: "school",
    service: "desk",
    operation: "book",
    body: Buffer.from("{}"),
    contentType: "application/json",
    key: "k1",
    deadline: createDeadline(5_000, { clock: createClock() }),
  }, context);
  t.is(Buffer.from(result.body).toString(), "stored");
  t.deepEqual(keys, { sent: "school/k1", fenced: "school/k1", lookedUp: "school/k1" });
});

const failAs = (ran: "unknown" | "not_run") => () =>
  Promise.reject(new EngineError("Failed", { code: "overloaded", ran }));

/** Runs an idempotent call whose attempts end as given, and returns what its caller is told. */
async function callIdempotent(
  t: ExecutionContext,
  attempts: { send?: () => Promise<never>; refusal?: AdmissionRefusedError }[],
) {
  let at = -1;
  const server = { id: "s1", url: "http://s1", kind: "service", serves: "desk" };
  const context = {
    configuration: {
      document: () => ({ services: { desk: { operations: { find: { idempotent: true } } } } }),
    },
    admission: {
      acquire() {
        at += 1;
        const refusal = attempts[at]?.refusal;
        return refusal ? Promise.reject(refusal) : Promise.resolve({ servers: [server] });
      },
      release: () => {},
    },
    decisions: { add: () => {} },
    metrics: { increment: () => {} },
    retryBudget: { tryWithdraw: () => at + 1 < attempts.length },
    clock: createClock(),
    serviceFor: () => ({ call: () => attempts[at]?.send?.() }),
  } as unknown as RouterContext;
  const req = {
    requestId: "r1",
    workspace: "school",
    service: "desk",
    operation: "find",
    body: Buffer.from("{}"),
    contentType: "application/json",
    deadline: createDeadline(5_000, { clock: createClock() }),
  };
  const err = await t.throwsAsync<RequestError>(() => callPlainService(req, context), {
    instanceOf: RequestError,
  });
  return err?.ran;
}

test("a call whose first attempt may have run is not reported as not run after a refusal", async (t) => {
  const refusal = new AdmissionRefusedError("overloaded", "Refused");
  const mayHaveRun = { send: failAs("unknown") };
  const notRun = { send: failAs("not_run") };
  t.is(await callIdempotent(t, [mayHaveRun, notRun]), "unknown");
  t.is(await callIdempotent(t, [mayHaveRun, { refusal }]), "unknown");
  t.is(await callIdempotent(t, [notRun, notRun]), "not_run");
  t.is(await callIdempotent(t, [notRun, { refusal }]), "not_run");
});
