import test from "ava";
import { shouldHedge } from "./should_hedge.ts";
import type { HedgeSituation } from "./should_hedge.ts";

const SLOW: HedgeSituation = {
  isRepeatable: true,
  hasAttemptLeft: true,
  runCount: 1,
  hasBegun: false,
  isCallerSlow: false,
  isStopping: false,
  elapsedMs: 200,
  usualMs: 200,
  remainingMs: 2_000,
};

// Guards against second runs that are not allowed, or of no use to the caller.
const EXCEPTIONS: Partial<HedgeSituation>[] = [
  { isRepeatable: false },
  { hasAttemptLeft: false },
  { runCount: 2 },
  { hasBegun: true },
  { isCallerSlow: true },
  { isStopping: true },
  { elapsedMs: 199 },
  { usualMs: undefined },
  { remainingMs: 200 },
];

test("a request that takes longer than usual is hedged, with each of the exceptions it is not", (t) => {
  t.true(shouldHedge(SLOW));
  t.deepEqual(EXCEPTIONS.filter((change) => shouldHedge({ ...SLOW, ...change })), []);
});
