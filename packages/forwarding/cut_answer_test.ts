import type { Socket } from "node:net";
import { CUT_END, listRawAnswers, sendCutAnswer } from "@jaypass/stand_ins";
import type { CutEnd, RawAnswer } from "@jaypass/stand_ins";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createTestHost } from "./_testing/create_test_host.ts";
import type { CallOptions, ServerBehaviour } from "./_testing/create_test_host.ts";
import { ROUTE_KIND } from "./types.ts";
import type { RouteKind } from "./types.ts";

/** Calls in progress at a time. */
const PARALLEL_CALLS = 64;

/** Time that a call on a loaded machine may last beyond its deadline. */
const DEADLINE_SLACK_MS = 1_500;

const HEADERS = ["Attempt: a1", "Seal: s"];
const EVENTS = ["id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"];

/** Bodies by the kind of route, and the lengths at which each could end if it has no length. */
const BODIES: readonly { kind: RouteKind; body: string; possibleEnds: number[] }[] = [
  { kind: ROUTE_KIND.NON_IDEMPOTENT, body: "whole", possibleEnds: [0, 1, 2, 3, 4, 5] },
  {
    kind: ROUTE_KIND.STREAMING,
    body: EVENTS.join(""),
    possibleEnds: [EVENTS[0]!.length, EVENTS.join("").length],
  },
];

/** Sends as many bytes of an answer as the body of the request says. */
const sendCut = ({ bytes }: RawAnswer, end: CutEnd): ServerBehaviour => (_req, res, length) =>
  sendCutAnswer(res.socket as Socket, bytes.slice(0, Number(length)), end);

/** Cuts an answer at each length, and returns the answers that look complete to the caller. */
async function cutEverywhere(
  t: ExecutionContext,
  answer: RawAnswer,
  { end, call }: { end: CutEnd; call: CallOptions },
) {
  const host = await createTestHost([sendCut(answer, end)], { maxAttempts: 1 });
  t.teardown(() => host.close());
  const lengths = Array.from({ length: answer.bytes.length + 1 }, (_, length) => length);
  const successes: { length: number; body: string }[] = [];
  const durations: number[] = [];
  const callNext = async (): Promise<void> => {
    const length = lengths.shift();
    if (length === undefined) return;
    const startMs = performance.now();
    const { status, body, isComplete } = await host.call({ ...call, body: String(length) });
    durations.push(performance.now() - startMs);
    if (status >= 200 && status < 300 && isComplete) successes.push({ length, body });
    return callNext();
  };
  await Promise.all(Array.from({ length: PARALLEL_CALLS }, callNext));
  successes.sort((a, b) => a.length - b.length);
  return { successes, longestMs: Math.max(...durations) };
}

for (const { kind, body, possibleEnds } of BODIES) {
  for (const answer of listRawAnswers(HEADERS, body)) {
    const { name, headLength, endsWithConnection } = answer;
    const whole = { length: answer.bytes.length, body };

    test.serial(`${kind}, ${name}: an answer cut by a close does not look complete`, async (t) => {
      const { successes } = await cutEverywhere(t, answer, { end: CUT_END.CLOSE, call: { kind } });
      const regular = endsWithConnection
        ? possibleEnds.map((end) => ({ length: headLength + end, body: body.slice(0, end) }))
        : [whole];
      // The HTTP client refuses a head whose lines end with line feeds only.
      t.deepEqual(successes, name.includes("line feeds only") ? [] : regular);
    });

    for (const end of [CUT_END.RESET, CUT_END.LATE_RESET]) {
      test.serial(`${kind}, ${name}: an answer cut by a ${end} does not look complete`, async (t) => {
        const { successes } = await cutEverywhere(t, answer, { end, call: { kind } });
        // An answer with a length or chunks is complete before the reset.
        const wrong = endsWithConnection
          ? successes
          : successes.filter((success) =>
            success.length !== whole.length || success.body !== whole.body
          );
        t.deepEqual(wrong, []);
      });
    }
  }

  test.serial(`${kind}: a cut answer whose connection stays open ends by the deadline`, async (t) => {
    const call = { kind, deadlineMs: 500 };
    for (const answer of listRawAnswers(HEADERS, body)) {
      if (!/^(length last|chunks and trailer|no length|informational answers)/.test(answer.name)) {
        continue;
      }
      const { bytes, endsWithConnection } = answer;
      const { successes, longestMs } = await cutEverywhere(t, answer, {
        end: CUT_END.SILENCE,
        call,
      });
      const isWhole = !endsWithConnection &&
        successes.every(({ length }) => length === bytes.length);
      t.true(successes.length === 0 || isWhole, answer.name);
      t.true(longestMs < call.deadlineMs + DEADLINE_SLACK_MS, `${longestMs} ms`);
    }
  });
}

test.serial("a stream without a length that is cut in an event resumes at another server", async (t) => {
  const answers = listRawAnswers(HEADERS, EVENTS.join("")).filter(({ name }) =>
    name === "no length"
  );
  for (const { bytes, headLength } of answers) {
    const rest: ServerBehaviour = (req, res) => {
      const isResumed = req.headers["resume-after"] === "1";
      res.writeHead(200, { Attempt: "a1", Seal: "s" }).end(isResumed ? EVENTS[1] : EVENTS.join(""));
    };
    for (const length of [headLength, headLength + 3, headLength + EVENTS[0]!.length + 3]) {
      const cut: ServerBehaviour = (_req, res) =>
        sendCutAnswer(res.socket as Socket, bytes.slice(0, length), CUT_END.CLOSE);
      const host = await createTestHost([cut, rest]);
      t.teardown(() => host.close());
      const { status, body, isComplete } = await host.call({ kind: ROUTE_KIND.STREAMING });
      t.deepEqual([status, body, isComplete], [200, EVENTS.join(""), true]);
    }
  }
});
