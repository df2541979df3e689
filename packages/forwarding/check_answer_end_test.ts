import type { Socket } from "node:net";
import test from "ava";
import { checkAnswerEnd } from "./check_answer_end.ts";

const LIMIT_MS = 40;

type WriteCallback = (err?: Error) => void;

/** Creates a socket whose write ends as the test says. */
const createSocket = (onWrite: (callback: WriteCallback) => void) =>
  ({
    write: (_bytes: string, callback: WriteCallback) => {
      onWrite(callback);
      return false;
    },
  }) as unknown as Pick<Socket, "write">;

const reset = new Error("read ECONNRESET");

const CASES: [
  name: string,
  isRequestWritten: boolean,
  (callback: WriteCallback) => void,
  unknown,
][] = [
  ["a FIN after the request", true, (callback) => callback(), undefined],
  ["a FIN after the request with a reset at once", true, (callback) => callback(reset), reset],
  ["a FIN before the rest is written", false, (callback) => setTimeout(callback, 5), undefined],
  ["a reset while the rest is written", false, (callback) => setTimeout(callback, 5, reset), reset],
];

for (const [name, isRequestWritten, onWrite, expected] of CASES) {
  test(`${name} is ${expected === undefined ? "a whole" : "no whole"} answer`, async (t) => {
    const options = { isRequestWritten, limitMs: 10_000 };
    t.is(await checkAnswerEnd(createSocket(onWrite), options), expected as undefined);
  });
}

// Guards against a request that waits until its deadline for a server that has ended its answer.
test("a server that does not take the rest within the limit has sent no whole answer", async (t) => {
  const startMs = performance.now();
  const options = { isRequestWritten: false, limitMs: LIMIT_MS };
  const err = await checkAnswerEnd(createSocket(() => {}), options);
  t.regex(err?.message ?? "", /did not read the request/);
  t.true(performance.now() - startMs >= LIMIT_MS - 1);
});
