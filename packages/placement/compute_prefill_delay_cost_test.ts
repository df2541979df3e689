import test from "ava";
import { UNANSWERED_COST_FACTOR } from "./constants.ts";
import { computePrefillDelayCost } from "./compute_prefill_delay_cost.ts";

const pendingPrefill = (slackMs: number, deadlineSlackMs: number) => ({
  slackMs,
  deadlineSlackMs,
  weight: 10,
});

test("a request counts if the prefill takes longer than its slack", (t) => {
  t.is(computePrefillDelayCost([pendingPrefill(100, 9_000)], 99), 0);
  t.is(computePrefillDelayCost([pendingPrefill(100, 9_000)], 101), 10);
});

test("a request that would miss its deadline counts several times", (t) => {
  t.is(computePrefillDelayCost([pendingPrefill(-500, 100)], 101), 10 * UNANSWERED_COST_FACTOR);
});

test("a request that is already late or past its deadline does not count", (t) => {
  t.is(
    computePrefillDelayCost([
      pendingPrefill(-1, 9_000),
      pendingPrefill(Infinity, 9_000),
      pendingPrefill(-1, -1),
    ], 500),
    0,
  );
});
