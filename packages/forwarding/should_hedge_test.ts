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

test("a repeatable request that takes longer than usual is hedged", (t) => {
  t.true(shouldHedge(SLOW));
});

// Guards against second runs that are not allowed, or of no use to the caller.
const EXCEPTIONS: Record<string, Partial<HedgeSituation>> = {
  "may run only once": { isRepeatable: false },
  "has no attempt left": { hasAttemptLeft: false },
  "runs at two servers already": { runCount: 2 },
  "has an answer that has begun": { hasBegun: true },
  "comes from a caller that does not read": { isCallerSlow: true },
  "is served by a host that stops": { isStopping: true },
  "is not slower than usual": { elapsedMs: 199 },
  "is of a kind whose usual time is not known": { usualMs: undefined },
  "has no time left for a second run": { remainingMs: 200 },
};
for (const [name, changes] of Object.entries(EXCEPTIONS)) {
  test(`a request that ${name} is not hedged`, (t) => {
    t.false(shouldHedge({ ...SLOW, ...changes }));
  });
}
