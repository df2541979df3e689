import test from "ava";
import { computeLatestStartMs } from "./compute_latest_start_ms.ts";

test("an answer that may outlast the host must start early enough to end before it", (t) => {
  t.is(computeLatestStartMs({ endMs: 12_000, answerMs: 5_000 }, 7_500), 2_500);
});

test("a request whose deadline is before the end of the host may start at any time", (t) => {
  t.is(computeLatestStartMs({ endMs: 7_500, answerMs: 20_000 }, 7_500), Infinity);
});

test("an answer of unknown length that may outlast the host may never start", (t) => {
  t.is(computeLatestStartMs({ endMs: 7_501, answerMs: Infinity }, 7_500), -Infinity);
});
