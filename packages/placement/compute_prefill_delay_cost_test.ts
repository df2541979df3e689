import test from "ava";
import { UNANSWERED_COST_FACTOR } from "./constants.ts";
import { computePrefillDelayCost } from "./compute_prefill_delay_cost.ts";

const reader = (slackMs: number, deadlineSlackMs: number) => ({
  slackMs,
  deadlineSlackMs,
  weight: 10,
});

test("a request counts when the read takes longer than it can wait", (t) => {
  t.is(computePrefillDelayCost([reader(100, 9_000)], 99), 0);
  t.is(computePrefillDelayCost([reader(100, 9_000)], 101), 10);
});

test("a request that would miss its deadline counts several times", (t) => {
  t.is(computePrefillDelayCost([reader(-500, 100)], 101), 10 * UNANSWERED_COST_FACTOR);
});

test("a request that is late or lost already counts no more", (t) => {
  t.is(
    computePrefillDelayCost([reader(-1, 9_000), reader(Infinity, 9_000), reader(-1, -1)], 500),
    0,
  );
});
