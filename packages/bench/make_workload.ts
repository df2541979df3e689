import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Profile } from "./profiles.ts";

/** Bounds of the prompt length in tokens. */
const MIN_TOKENS = 1_000;
const MAX_TOKENS = 1_000_000;

/** Bounds of the scheduler's lanes, which also define the prompt classes of the report. */
const SHORT_TOKENS = 8_192;
const LONG_TOKENS = 100_000;

/** One in this number of prompts is long. */
const LONG_EVERY = 50;

/** Median and sigma of the log-normal distribution of all other prompt lengths. */
const MEDIAN_TOKENS = 3_000;
const LENGTH_SIGMA = 1;

/** Share of the prompts that start with a shared prefix of their workspace. */
const SHARED_PREFIX_SHARE = 0.6;

/** Number of shared prefixes per workspace. */
const PREFIXES_PER_WORKSPACE = 3;

/** Class of a prompt by its length. */
export type PromptClass = "short" | "medium" | "long";

/** A request of the load, which is planned before the run. */
export interface Arrival {
  requestId: string;
  /** Intended start in modelled time since the start of the run. */
  atMs: number;
  /** Index of the workspace. */
  workspace: number;
  promptClass: PromptClass;
  promptTokens: number;
  maxTokens: number;
  /** Shared prefix; `undefined` for none. */
  prefix?: { name: string; tokens: number };
}

/** Options of {@linkcode makeWorkload}. */
export interface WorkloadOptions {
  seed: number;
  /** Modelled length of the run. */
  durationMs: number;
  /** Overrides the rate of the profile. */
  ratePerSecond?: number;
  /** Omits long prompts; all other requests stay the same. */
  isWithoutLong?: boolean;
}

/**
 * Plans the requests of an open-loop run: Poisson arrivals, log-normal prompt lengths with one long
 * prompt in fifty, and workspaces with shared prefixes.
 *
 * @param profile rate and workspace shares
 * @param options seed, length and rate
 * @returns requests in the order of their intended start; the same seed gives the same requests
 *
 * @example
 * const arrivals = makeWorkload(PROFILES.vigie, { seed: 1, durationMs: 60_000 });
 */
export function makeWorkload(profile: Profile, options: WorkloadOptions): Arrival[] {
  const random = xoroshiro128plus(options.seed);
  const uniform = () => uniformFloat64(random);
  const normal = () => Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform());
  const rate = options.ratePerSecond ?? profile.ratePerSecond;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (true) {
    atMs += -Math.log(1 - uniform()) / rate * 1_000;
    if (atMs >= options.durationMs) break;
    const isLong = uniformInt(random, 1, LONG_EVERY) === 1;
    const spread = isLong ? uniform() : normal();
    const promptTokens = Math.round(
      isLong ? LONG_TOKENS * (MAX_TOKENS / LONG_TOKENS) ** spread : Math.min(
        LONG_TOKENS,
        Math.max(MIN_TOKENS, MEDIAN_TOKENS * Math.exp(LENGTH_SIGMA * spread)),
      ),
    );
    const workspace = chooseWorkspace(profile.workspaceShares, uniform());
    const prefixIndex = uniformInt(random, 0, PREFIXES_PER_WORKSPACE - 1);
    const prefixTokens = 1_024 * (1 + 2 * prefixIndex);
    const isShared = uniform() < SHARED_PREFIX_SHARE && prefixTokens < promptTokens;
    const maxTokens = uniformInt(random, 20, 120);
    if (isLong && options.isWithoutLong) continue;
    arrivals.push({
      requestId: `s${options.seed}-${Math.round(atMs * 1_000)}`,
      atMs,
      workspace,
      promptClass: isLong ? "long" : promptTokens > SHORT_TOKENS ? "medium" : "short",
      promptTokens,
      maxTokens,
      ...(isShared && { prefix: { name: `w${workspace}p${prefixIndex}`, tokens: prefixTokens } }),
    });
  }
  return arrivals;
}

function chooseWorkspace(shares: readonly number[], point: number): number {
  let sum = 0;
  const index = shares.findIndex((share) => (sum += share) > point);
  return index === -1 ? shares.length - 1 : index;
}
