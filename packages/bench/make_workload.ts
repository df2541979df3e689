import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Profile } from "./profiles.ts";

/** Prompt lengths in tokens. */
const MIN_TOKENS = 1_000;
const MAX_TOKENS = 1_000_000;

/** Lane limits of the design, used as classes of the report. */
const SHORT_TOKENS = 8_192;
const LONG_TOKENS = 100_000;

/** One prompt in this many is above the limit of long ones. */
const LONG_EVERY = 50;

/** Body of the prompt lengths: median and spread of a log-normal distribution. */
const BODY_MEDIAN_TOKENS = 3_000;
const BODY_SIGMA = 1;

/** Share of the prompts that start with a prefix of their workspace, and prefixes of each. */
const SHARED_PREFIX_SHARE = 0.6;
const PREFIXES_PER_WORKSPACE = 3;

/** Class of a prompt by its length. */
export type PromptClass = "short" | "medium" | "long";

/** A request of the load, planned before the run. */
export interface Arrival {
  requestId: string;
  /** Intended start on the modelled clock, from the start of the run. */
  atMs: number;
  workspace: number;
  promptClass: PromptClass;
  promptTokens: number;
  maxTokens: number;
  /** Shared prefix, or `undefined`. */
  prefix?: { name: string; tokens: number };
}

/** Options of {@linkcode makeWorkload}. */
export interface WorkloadOptions {
  seed: number;
  /** Modelled length of the run. */
  durationMs: number;
  /** Overrides the rate of the profile. */
  ratePerSecond?: number;
  /** Leaves long prompts out; all other requests stay exactly the same. */
  isWithoutLong?: boolean;
}

/**
 * Plans the requests of an open-loop run: Poisson arrivals, log-normal prompt lengths with one long
 * prompt in fifty, and workspaces with shared prefixes.
 *
 * @param profile fleet and callers
 * @param options seed, length and rate
 * @returns requests in the order of their intended start; the same seed gives the same ones
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
        Math.max(MIN_TOKENS, BODY_MEDIAN_TOKENS * Math.exp(BODY_SIGMA * spread)),
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
