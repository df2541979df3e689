import { createClock } from "@jaypass/kernel";
import test from "ava";
import type { Dispatcher } from "undici";
import { EngineError } from "../errors.ts";
import { openExchange } from "./open_exchange.ts";

/** Creates a dispatcher whose connection is established only when the test calls `connect`. */
function slowDispatcher() {
  let handler: Dispatcher.DispatchHandler | undefined;
  const dispatch: Dispatcher["dispatch"] = (_options, given) => {
    handler = given;
    return true;
  };
  const controller = { abort: () => {} } as unknown as Dispatcher.DispatchController;
  const connect = () => handler?.onRequestStart?.(controller, undefined);
  return { dispatcher: { dispatch } as Dispatcher, connect };
}

const REQ = { method: "POST", path: "/", body: "{}" } as const;

test("a request that was reported as not run is not written if its connection is established later", async (t) => {
  const controller = new AbortController();
  for (const limits of [{ timeoutMs: 20 }, { timeoutMs: 60_000, signal: controller.signal }]) {
    const { dispatcher, connect } = slowDispatcher();
    const exchange = openExchange(dispatcher, REQ, { clock: createClock(), ...limits });
    if (limits.signal) controller.abort();
    const err = await t.throwsAsync(exchange.head(), { instanceOf: EngineError });
    t.is(err?.ran, "not_run");
    t.throws(connect);
    t.false(exchange.isWritten());
  }
});

test("a request is not written twice if the HTTP client retries it", (t) => {
  const { dispatcher, connect } = slowDispatcher();
  const exchange = openExchange(dispatcher, REQ, { clock: createClock(), timeoutMs: 60_000 });
  connect();
  t.throws(connect);
  exchange.fail(new EngineError("End of the test", { code: "aborted", ran: "unknown" }));
});
