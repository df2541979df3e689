import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A request of a simulated workload. */
export interface Arrival {
  id: string;
  atMs: number;
  promptTokens: number;
  outputTokens: number;
  isLong: boolean;
}

/** Rates of a workload, in requests per second, and ranges of sizes, in tokens. */
export interface WorkloadOptions {
  seed: number;
  durationMs: number;
  shortPerSecond: number;
  longPerSecond: number;
  shortTokens: [number, number];
  longTokens: [number, number];
  outputTokens: [number, number];
}

/** Creates a seeded source of numbers in [0, 1). */
export function createSeededRandom(seed: number): () => number {
  const rng = xoroshiro128plus(seed);
  return () => uniformFloat64(rng);
}

/**
 * Creates Poisson arrivals of short and long prompts. Both use separate random sources, so that the short
 * prompts of a seed are the same with and without long prompts.
 */
export function createWorkload(options: WorkloadOptions): Arrival[] {
  const arrivals: Arrival[] = [];
  const add = (isLong: boolean, perSecond: number, [from, to]: [number, number]) => {
    const random = createSeededRandom(options.seed * 2 + (isLong ? 1 : 0));
    const [least, most] = options.outputTokens;
    for (let atMs = 0, n = 0; perSecond > 0; n++) {
      atMs -= Math.log(1 - random()) / perSecond * 1_000;
      if (atMs > options.durationMs) break;
      arrivals.push({
        id: `${isLong ? "long" : "short"}${n}`,
        atMs,
        // Log-uniform: as many requests between 1k and 2k tokens as between 4k and 8k.
        promptTokens: Math.round(from * (to / from) ** random()),
        outputTokens: Math.round(least + (most - least) * random()),
        isLong,
      });
    }
  };
  add(false, options.shortPerSecond, options.shortTokens);
  add(true, options.longPerSecond, options.longTokens);
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}
