import { createPlacerPolicy, simulatePlacement } from "./simulate_placement.ts";
import type { PlacementLoad, PlacementPolicy, PromptKind } from "./simulate_placement.ts";

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

/** Rates per engine, in requests per second. */
const KINDS: readonly PromptKind[] = [
  {
    name: "short",
    promptTokens: 5_000,
    perSecond: 1.4,
    events: 40,
    goalMs: 300,
    pauseGoalMs: 250,
    abandonAfterMs: 2_000,
    urgency: 2,
    lateCreditShare: 0.25,
  },
  {
    name: "middle",
    promptTokens: 45_000,
    perSecond: 0.08,
    events: 24,
    goalMs: 1_500,
    pauseGoalMs: 600,
    abandonAfterMs: 6_000,
    urgency: 5,
    lateCreditShare: 0.25,
  },
  {
    name: "long",
    promptTokens: 180_000,
    perSecond: 0.036,
    events: 20,
    goalMs: 4_000,
    pauseGoalMs: 1_000,
    abandonAfterMs: 15_000,
    urgency: 6,
    lateCreditShare: 0.25,
  },
];

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
  const load: PlacementLoad = {
    engines,
    seed,
    phases: [{ lengthMs, factors: Object.fromEntries(KINDS.map(({ name }) => [name, factor])) }],
    kinds: KINDS.map((kind) => ({ ...kind, perSecond: kind.perSecond * engines })),
    profile: {
      slots: 10,
      memoryTokens: 400_000,
      stepMs: 1.3,
      perWriterMs: 0.001,
      contextMsPerThousand: 0.002,
      readTokensPerMs: 150,
      pairMsPerMillion: 0.16,
      stepsPerPass: 32,
      chunkTokens: 2_048,
      usualPromptTokens: 11_000,
      usualAnswerTokens: 1_250,
    },
  };
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
