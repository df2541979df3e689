import test from "ava";
import { EngineError } from "@jaypass/engines";
import { RequestError } from "../errors.ts";
import { createRequestId } from "../create_request_id.ts";
import { followRemote } from "./follow_remote.ts";
import type { RouterContext } from "./router_context.ts";

const REQUEST_ID = createRequestId("h2", { workspace: "school", serves: "lore-1" });

/** Messages of the accepting host up to the moment at which its stream ends normally. */
const MESSAGES = [{ index: 0, texts: ["a"] }, { index: 1, texts: ["b"] }];

/** Follows an answer of another host; `engineTokens` are those that an engine still holds. */
async function follow(messages: object[], engineTokens?: string[]) {
  const resumedFrom: number[] = [];
  const engine = {
    url: "engine-0",
    async *resume(_id: string, from: number) {
      resumedFrom.push(from);
      for (let index = from; index < engineTokens!.length; index++) {
        yield await Promise.resolve({ type: "token", index, text: engineTokens![index] });
      }
      if (engineTokens!.length < 3) throw new EngineError("Cut", { code: "cut", ran: "ran" });
    },
    cancel: () => Promise.resolve(),
  };
  const grant = { requestId: `${REQUEST_ID}.0`, servers: [{ url: "engine-0" }] };
  const context = {
    membership: { find: () => ({ id: "h2", peerAddress: "h2:1" }), self: () => ({ id: "h1" }) },
    peers: {
      async *stream() {
        for (const message of messages) yield await Promise.resolve(message);
      },
    },
    admission: {
      find: () => Promise.resolve(engineTokens === undefined ? undefined : grant),
      release() {},
    },
    configuration: { document: () => ({ backendServers: {} }) },
    engineFor: () => engine,
    decisions: { add() {} },
    log: { info() {} },
    metrics: { increment() {} },
  } as unknown as RouterContext;
  const options = { workspace: "school", from: 0, signal: new AbortController().signal };
  const tokens: string[] = [];
  try {
    for await (const { index, text } of followRemote(REQUEST_ID, options, context)) {
      tokens.push(`${index} ${text}`);
    }
    return { tokens, resumedFrom, outcome: "whole" };
  } catch (err) {
    return { tokens, resumedFrom, outcome: err instanceof RequestError ? err.reason : String(err) };
  }
}

test("a stream of another host without its end message is continued at the engine or not complete", async (t) => {
  t.snapshot({
    ended: await follow([...MESSAGES, { index: 2, texts: ["c"] }, { end: {} }]),
    failed: await follow([...MESSAGES, { end: { reason: "engine_failed", ran: "ran" } }]),
    continued: await follow(MESSAGES, ["a", "b", "c"]),
    cut: await follow(MESSAGES, ["a", "b"]),
    unknown: await follow(MESSAGES),
  });
});
