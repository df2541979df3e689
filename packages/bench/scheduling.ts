/**
 * Simulates each policy and compares the time to first token of short prompts with and without long ones.
 *
 * @module
 */
import { build } from "hdr-histogram-js";
import { POLICIES, runPolicy } from "./_lib/run_policy.ts";
import type { Outcome, RunOptions } from "./_lib/run_policy.ts";
import { createWorkload } from "./_lib/workload.ts";

const SEEDS = [1, 2, 3];
const DURATION_MS = 600_000;
const base: Omit<RunOptions, "policy" | "seed" | "hasPriorities"> = {
  engines: 5,
  slots: 32,
  memoryTokens: 1_000_000,
  prefillTokensPerSecond: 20_000,
  msPerOutputToken: 20,
  chunkTokens: 2_048,
  lagMs: 500,
  durationMs: DURATION_MS,
  firstTokenMs: (arrival) => arrival.isLong ? 120_000 : 20_000,
};

function percentile(outcomes: readonly Outcome[], isLong: boolean, percent: number): number {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const { arrival, firstTokenMs } of outcomes) {
    if (arrival.isLong === isLong && firstTokenMs !== undefined) {
      histogram.recordValue(Math.max(1, Math.round(firstTokenMs)));
    }
  }
  return histogram.getValueAtPercentile(percent);
}

console.log(
  "policy | priorities | short p95 alone | with long | ratio | long p50 | long done | refused",
);
for (const policy of POLICIES) {
  for (const hasPriorities of [true, false]) {
    const alone: Outcome[] = [];
    const mixed: Outcome[] = [];
    for (const seed of SEEDS) {
      const work = {
        seed,
        durationMs: DURATION_MS,
        shortPerSecond: 14,
        shortTokens: [1_000, 8_000] as [number, number],
        longTokens: [100_000, 400_000] as [number, number],
        outputTokens: [20, 200] as [number, number],
      };
      const options = { ...base, policy, seed, hasPriorities };
      alone.push(...runPolicy(createWorkload({ ...work, longPerSecond: 0 }), options));
      mixed.push(...runPolicy(createWorkload({ ...work, longPerSecond: 14 / 49 * 0.5 }), options));
    }
    const long = mixed.filter(({ arrival }) => arrival.isLong);
    const before = percentile(alone, false, 95);
    const after = percentile(mixed, false, 95);
    console.log([
      policy,
      hasPriorities ? "yes" : "no",
      `${before} ms`,
      `${after} ms`,
      (after / before).toFixed(2),
      `${percentile(mixed, true, 50)} ms`,
      `${long.filter(({ endMs }) => endMs !== undefined).length}/${long.length}`,
      [...alone, ...mixed].filter(({ refused }) => refused !== undefined).length,
    ].join(" | "));
  }
}
