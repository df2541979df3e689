/**
 * Simulates each policy at 1 to 5 times the capacity and compares the goodput: prompt tokens per second
 * of the requests whose first token was in time.
 *
 * @module
 */
import { POLICIES, runPolicy } from "./_lib/run_policy.ts";
import { createWorkload } from "./_lib/workload.ts";

const SEED = 4;
const DURATION_MS = 120_000;

/** Deadline of the first token, by prompt class. */
const FIRST_TOKEN_MS = { short: 2_000, long: 60_000 };
/** Prefill capacity of all engines in tokens per second. */
const CAPACITY = 5 * 20_000;

console.log("policy | load | goodput share of capacity | short in time | long in time | refused");
for (const policy of POLICIES) {
  for (const load of [1, 2, 3, 4, 5]) {
    // Short prompts make up 60% of the offered tokens, long ones 40%. The divisors are the mean prompt
    // lengths of the two log-uniform distributions.
    const arrivals = createWorkload({
      seed: SEED,
      durationMs: DURATION_MS,
      shortPerSecond: load * CAPACITY * 0.6 / 3_366,
      longPerSecond: load * CAPACITY * 0.4 / 216_404,
      shortTokens: [1_000, 8_000],
      longTokens: [100_000, 400_000],
      outputTokens: [20, 200],
    });
    const dueMs = (isLong: boolean) => isLong ? FIRST_TOKEN_MS.long : FIRST_TOKEN_MS.short;
    const outcomes = runPolicy(arrivals, {
      policy,
      seed: SEED,
      hasPriorities: true,
      engines: 5,
      slots: 64,
      memoryTokens: 1_500_000,
      prefillTokensPerSecond: 20_000,
      msPerOutputToken: 20,
      chunkTokens: 2_048,
      lagMs: 500,
      durationMs: DURATION_MS,
      firstTokenMs: ({ isLong }) => dueMs(isLong),
    });
    const inTime = outcomes.filter(({ arrival, firstTokenMs }) =>
      firstTokenMs !== undefined && firstTokenMs <= dueMs(arrival.isLong)
    );
    const tokens = inTime.reduce((sum, { arrival }) => sum + arrival.promptTokens, 0);
    const share = (isLong: boolean) => {
      const all = outcomes.filter(({ arrival }) => arrival.isLong === isLong).length;
      const good = inTime.filter(({ arrival }) => arrival.isLong === isLong).length;
      return `${good}/${all}`;
    };
    console.log([
      policy,
      `${load}x`,
      (tokens / (CAPACITY * DURATION_MS / 1_000)).toFixed(2),
      share(false),
      share(true),
      outcomes.filter(({ refused }) => refused !== undefined).length,
    ].join(" | "));
  }
}
