import type { Socket } from "node:net";
import test from "ava";
import { checkAnswerEnd } from "./check_answer_end.ts";

const LIMIT_MS = 40;
const reset = new Error("read ECONNRESET");

/** Checks an answer on a socket whose write ends after a time, with an error or without. */
function check(isRequestWritten: boolean, delayMs: number, err?: Error) {
  const write = (_bytes: string, callback: (err?: Error) => void) =>
    delayMs === 0 ? callback(err) : setTimeout(callback, delayMs, err);
  const socket = { write } as unknown as Pick<Socket, "write">;
  return checkAnswerEnd(socket, { isRequestWritten, limitMs: LIMIT_MS });
}

test("an answer is whole after a FIN, unless a reset follows or the rest is not taken in time", async (t) => {
  t.is(await check(true, 0), undefined);
  t.is(await check(true, 0, reset), reset);
  t.is(await check(false, 1), undefined);
  t.is(await check(false, 1, reset), reset);
  // Guards against a request that waits until its deadline for a server that has ended its answer.
  t.regex((await check(false, 50 * LIMIT_MS))?.message ?? "", /did not read the request/);
});
