import test from "ava";
import type { PeerContext } from "@jaypass/peers";
import { RAN } from "@jaypass/idempotency";
import type { AnswerStore } from "../create_answer_store.ts";
import { RequestError } from "../errors.ts";
import { FAILURE } from "../types.ts";
import { serveResume } from "./serve_resume.ts";

test("a refusal with a time to retry reaches the other host with that time", async (t) => {
  const answers = {
    find: () => ({
      answer: { workspace: "school" },
      // deno-lint-ignore require-yield
      async *follow() {
        await Promise.resolve();
        throw new RequestError("Too many repeats", {
          reason: FAILURE.RETRY_BUDGET,
          ran: RAN.NOT_RUN,
          retryAfterMs: 700,
        });
      },
    }),
  } as unknown as AnswerStore;
  const call = { signal: new AbortController().signal } as PeerContext;
  const messages = [];
  const req = { requestId: "r1", workspace: "school", from: 0 };
  for await (const message of serveResume(answers, req, call)) messages.push(message);
  t.deepEqual(messages, [
    {
      end: {
        reason: "retry_budget",
        ran: "not_run",
        message: "Too many repeats",
        retryAfterMs: 700,
      },
    },
  ]);
});
