import { createPromptLoad } from "./_lib/create_prompt_load.ts";
import { createPlacerPolicy, simulatePlacement } from "./simulate_placement.ts";
import type { PlacementPolicy } from "./simulate_placement.ts";

/** Cost of the decisions of one simulated load. */
export interface PlacementCost {
  engines: number;
  requests: number;
  /** Processor time of the placer per request, in milliseconds, with all events of the request. */
  perRequestMs: number;
  /** Longest time of a single call of the placer, in milliseconds. */
  longestCallMs: number;
  /** Share of the possible credit that each kind earned, by name. */
  credit: Record<string, number>;
}

/** Options of {@linkcode measurePlacementCost}. */
export interface PlacementCostOptions {
  /** Seed of arrival times and prompt lengths. */
  seed: number;
  /** Length of the load in milliseconds. */
  lengthMs: number;
  /** Factor of the request rates; from about 2 on, prompts wait in the queues. */
  factor: number;
}

/**
 * Measures what the decisions of one placer cost in a simulated load that grows with the engines.
 *
 * @param engines number of engines
 * @param options seed, length and rate of the load
 * @returns the cost per request
 *
 * @example
 * const cost = await measurePlacementCost(112, { seed: 1, lengthMs: 10_000, factor: 1 });
 */
export async function measurePlacementCost(
  engines: number,
  { seed, lengthMs, factor }: PlacementCostOptions,
): Promise<PlacementCost> {
  const kindFactors = { short: factor, middle: factor, long: factor };
  const load = createPromptLoad(engines, { seed, phases: [{ lengthMs, factors: kindFactors }] });
  let totalMs = 0;
  let longestCallMs = 0;
  const timed = <T>(action: () => T): T => {
    const startMs = performance.now();
    const result = action();
    const elapsedMs = performance.now() - startMs;
    totalMs += elapsedMs;
    longestCallMs = Math.max(longestCallMs, elapsedMs);
    return result;
  };
  const createTimedPolicy = (nowMs: () => number): PlacementPolicy => {
    const policy = createPlacerPolicy(load, nowMs);
    return {
      place: (job) => timed(() => policy.place(job)),
      started: (jobId) => timed(() => policy.started(jobId)),
      finished: (jobId) => timed(() => policy.finished(jobId)),
      dispatchWaiting: () => timed(() => policy.dispatchWaiting()),
    };
  };
  const results = [...await simulatePlacement(load, createTimedPolicy)];
  const requests = results.reduce((sum, [, result]) => sum + result.requests, 0);
  return {
    engines,
    requests,
    perRequestMs: totalMs / requests,
    longestCallMs,
    credit: Object.fromEntries(results.map(([name, { credit }]) => [name, credit])),
  };
}
