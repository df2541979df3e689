import test from "ava";
import fc from "fast-check";
import { build } from "hdr-histogram-js";
import { createHedging } from "./create_hedging.ts";
import type { HedgeLimits } from "./create_hedging.ts";
import { shouldHedge } from "./should_hedge.ts";

const REQUESTS = 20_000;
const REQUEST_INTERVAL_MS = 10;

/** Requests after which quantiles are known and the budget is in use. */
const WARM_UP = 1_000;

const DEADLINE_MS = 30_000;
const KIND = { route: "chat", promptTokens: 5_000 };
const SERVICE = "model";

/** Numbers from 0 to 1 for the first and the second run of each request. */
const RANDOM = fc.sample(fc.noBias(fc.integer({ min: 0, max: 999_999 })), {
  seed: 6,
  numRuns: 2 * REQUESTS,
}).map((value) => value / 1_000_000);

/** Time to the first byte of a server with a heavy tail: median 100 ms, one run in a hundred over 1.6 s. */
const computeRunMs = (random = 0) => 100 * (2 * (1 - random)) ** (-1 / 1.4);

/** Serves requests at servers with room, and returns quantiles of the time and the share of added work. */
async function serve(limits: HedgeLimits | undefined) {
  let nowMs = 0;
  const hedging = createHedging({ clock: { nowMs: () => nowMs }, limits: () => limits });
  hedging.findUsualMs(KIND);
  // The histograms are loaded at the first use.
  while (limits && hedging.findUsualMs(KIND) === undefined) {
    hedging.recordFirstByte(KIND, 100);
    await new Promise(setImmediate);
  }
  const times = build({ highestTrackableValue: DEADLINE_MS, numberOfSignificantValueDigits: 2 });
  let hedgeCount = 0;
  let workMs = 0;
  let addedMs = 0;
  let vainMs = 0;
  for (let at = 0; at < REQUESTS; at++, nowMs += REQUEST_INTERVAL_MS) {
    const firstMs = Math.min(DEADLINE_MS, computeRunMs(RANDOM[2 * at]));
    const usualMs = hedging.findUsualMs(KIND);
    const isDue = usualMs !== undefined && firstMs > usualMs && shouldHedge({
      isRepeatable: true,
      hasAttemptLeft: true,
      runCount: 1,
      hasBegun: false,
      isCallerSlow: false,
      isStopping: false,
      elapsedMs: usualMs,
      usualMs,
      remainingMs: DEADLINE_MS - usualMs,
    });
    const grant = isDue ? hedging.tryTake(SERVICE) : undefined;
    const hedgeMs = computeRunMs(RANDOM[2 * at + 1]);
    const totalMs = grant === undefined ? firstMs : Math.min(firstMs, (usualMs ?? 0) + hedgeMs);
    if (grant !== undefined && usualMs !== undefined) {
      const hasWon = usualMs + hedgeMs < firstMs;
      const hedgeRunMs = totalMs - usualMs;
      grant.settle(hedgeRunMs);
      if (hasWon) hedging.recordUnanswered(KIND, totalMs);
      hedgeCount += 1;
      addedMs += hedgeRunMs;
      vainMs += hasWon ? totalMs : hedgeRunMs;
    }
    hedging.recordFirstByte(KIND, grant === undefined || totalMs === firstMs ? totalMs : hedgeMs);
    hedging.countRequest(SERVICE);
    hedging.countWork(SERVICE, totalMs);
    workMs += totalMs;
    if (at >= WARM_UP) times.recordValue(Math.round(totalMs));
  }
  const [p50, p95, p99] = [50, 95, 99].map((share) => times.getValueAtPercentile(share));
  const shares = { hedge: hedgeCount / REQUESTS, added: addedMs / workMs, vain: vainMs / workMs };
  return { p50, p95, p99, shares, workMs: Math.round(workMs + addedMs) };
}

test("hedges cut the tail of slow servers within their shares of requests and work", async (t) => {
  const off = await serve(undefined);
  const on = await serve({ maxShare: 0.1, maxWorkShare: 0.1, quantile: 0.95 });
  t.log({ off, on });
  t.is(off.shares.hedge, 0);
  t.true(on.shares.hedge <= 0.1 && on.shares.added <= 0.1);
  t.true((on.p99 ?? 0) < (off.p99 ?? 0));
  t.true((on.p50 ?? 0) <= (off.p50 ?? 0));
  const small = await serve({ maxShare: 0.02, maxWorkShare: 0.02, quantile: 0.95 });
  t.log({ small });
  t.true(small.shares.hedge <= 0.02 && small.shares.added <= 0.02);
});
