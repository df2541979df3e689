import test from "ava";
import { computeStopAnswerMs } from "./compute_stop_answer_ms.ts";

/** Silence of a sound server that no stop may turn into a cut answer. */
const SILENCE_MS = 1_800;

test("early in a stop, an answer has time for a silence of its server if callers have other hosts", (t) => {
  const stop = { elapsedMs: 2_490, hasOtherHosts: true };
  t.true(computeStopAnswerMs(4_700, stop) >= 4_700 + SILENCE_MS);
});

test("early in a stop, callers without other hosts are refused no answer that is expected to end in time", (t) => {
  t.is(computeStopAnswerMs(4_700, { elapsedMs: 2_490, hasOtherHosts: false }), 4_700);
});

for (const hasOtherHosts of [true, false]) {
  test(`late in a stop, an answer has time for a silence and for twice its expected time, ${hasOtherHosts ? "with" : "without"} other hosts`, (t) => {
    const stop = { elapsedMs: 2_700, hasOtherHosts };
    t.true(computeStopAnswerMs(500, stop) >= 500 + SILENCE_MS);
    t.is(computeStopAnswerMs(3_000, stop), 6_000);
  });
}
