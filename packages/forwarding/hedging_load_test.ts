import test from "ava";
import fc from "fast-check";
import { build } from "hdr-histogram-js";
import { createHedging } from "./create_hedging.ts";

const REQUESTS = 20_000;
const REQUEST_INTERVAL_MS = 10;
const KIND = { route: "chat", promptTokens: 5_000 };

/** Numbers from 0 to 1 for the first and the second run of each request. */
const RANDOM = fc.sample(fc.noBias(fc.integer({ min: 0, max: 999_999 })), {
  seed: 6,
  numRuns: 2 * REQUESTS,
}).map((value) => value / 1_000_000);

/** Time to the first byte of a server with a heavy tail: median 100 ms, one run in a hundred over 1.6 s. */
const computeRunMs = (random = 0) => 100 * (2 * (1 - random)) ** (-1 / 1.4);

/** Serves requests at servers with room; the first thousand teach the host what is usual. */
async function serve(share: number) {
  let nowMs = 0;
  const limits = { maxShare: share, maxWorkShare: share, quantile: 0.95 };
  const hedging = createHedging({ clock: { nowMs: () => nowMs }, limits: () => limits });
  // The histograms are loaded at the first use.
  while (share > 0 && hedging.findUsualMs(KIND) === undefined) {
    hedging.recordFirstByte(KIND, 100);
    await new Promise(setImmediate);
  }
  const times = build({ numberOfSignificantValueDigits: 2 });
  const sums = { hedges: 0, workMs: 0, hedgeWorkMs: 0, vainMs: 0 };
  for (let at = 0; at < REQUESTS; at++, nowMs += REQUEST_INTERVAL_MS) {
    const firstMs = computeRunMs(RANDOM[2 * at]);
    const usualMs = hedging.findUsualMs(KIND) ?? Infinity;
    const grant = firstMs > usualMs ? hedging.tryTake("s") : undefined;
    const secondMs = grant === undefined ? Infinity : computeRunMs(RANDOM[2 * at + 1]);
    const totalMs = Math.min(firstMs, usualMs + secondMs);
    const hasWon = totalMs < firstMs;
    if (grant !== undefined) {
      grant.settle(totalMs - usualMs);
      sums.hedges += 1;
      sums.hedgeWorkMs += totalMs - usualMs;
      sums.vainMs += hasWon ? totalMs : totalMs - usualMs;
    }
    if (hasWon) hedging.recordUnanswered(KIND, totalMs);
    hedging.recordFirstByte(KIND, hasWon ? secondMs : firstMs);
    hedging.countRequest("s");
    hedging.countWork("s", totalMs);
    sums.workMs += totalMs;
    if (at >= 1_000) times.recordValue(Math.round(totalMs));
  }
  const [p50 = 0, p95 = 0, p99 = 0] = [50, 95, 99].map((rank) => times.getValueAtPercentile(rank));
  return { p50, p95, p99, ...sums };
}

test("hedges cut the tail of slow servers within their shares of requests and work", async (t) => {
  const off = await serve(0);
  t.log({ off });
  t.is(off.hedges, 0);
  for (const share of [0.02, 0.1]) {
    const on = await serve(share);
    t.log({ share, on });
    t.true(on.hedges <= share * REQUESTS && on.hedgeWorkMs <= share * on.workMs);
    t.true(on.p99 < off.p99 && on.p50 <= off.p50);
  }
});
