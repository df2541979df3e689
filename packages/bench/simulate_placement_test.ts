import test from "ava";
import { createPromptLoad } from "./_lib/create_prompt_load.ts";
import { createLeastOutstandingPolicy, createRandomTwoPolicy } from "./placement_baselines.ts";
import { createPlacerPolicy, simulatePlacement } from "./simulate_placement.ts";
import type { LoadPhase, PlacementLoad, PlacementPolicy } from "./simulate_placement.ts";

const ENGINES = 12;

const SEEDS = [1, 2, 3, 4];

/** Least credit of short prompts, from the stated target of answers in time. */
const IN_TIME_TARGET = 0.95;

/** Least credit of long prompts, from the target that issue 10 states for such a load. */
const LONG_CREDIT_AIM = 0.86;

/** Bursts of long prompts alternate with bursts of short ones. */
const ALTERNATING: readonly LoadPhase[] = [
  { lengthMs: 10_000, factors: { short: 0.4, middle: 1.3, long: 2.5 } },
  { lengthMs: 10_000, factors: { short: 2.4, middle: 0.5, long: 0.1 } },
];

/** For some seconds, more short prompts arrive than the engines have slots. */
const OVERLOAD: readonly LoadPhase[] = [
  { lengthMs: 4_000, factors: { short: 4, middle: 0.5, long: 0.1 } },
  { lengthMs: 6_000, factors: {} },
];

type CreatePolicy = (load: PlacementLoad, nowMs: () => number) => PlacementPolicy;

/** Simulates the load for each seed and returns the mean credit of each kind. */
async function simulate(phases: readonly LoadPhase[], createPolicy: CreatePolicy) {
  const credit: Record<string, number> = { short: 0, middle: 0, long: 0 };
  for (const seed of SEEDS) {
    const load = createPromptLoad(ENGINES, { seed, phases: [...phases, ...phases, ...phases] });
    const results = await simulatePlacement(load, (nowMs) => createPolicy(load, nowMs));
    for (const [kind, result] of results) credit[kind]! += result.credit / SEEDS.length;
  }
  return credit as { short: number; middle: number; long: number };
}

test("under alternating bursts of short and long prompts, the placer reaches both targets and beats the baselines", async (t) => {
  const placer = await simulate(ALTERNATING, createPlacerPolicy);
  const least = await simulate(ALTERNATING, createLeastOutstandingPolicy);
  const two = await simulate(ALTERNATING, createRandomTwoPolicy);
  t.log({ placer, least, two });
  t.true(placer.short >= IN_TIME_TARGET, JSON.stringify(placer));
  t.true(placer.long >= LONG_CREDIT_AIM, JSON.stringify(placer));
  for (const baseline of [least, two]) {
    t.true(placer.long > baseline.long && placer.short > baseline.short);
  }
});

test("while a fifth of the engines are 4 times slower for 5 s, their pace keeps more prompts on time", async (t) => {
  const countInTime = async (slow: PlacementLoad["slow"], createPolicy: CreatePolicy) => {
    let inTime = 0;
    for (const seed of SEEDS) {
      const phases = [{ lengthMs: 10_000, factors: {} }];
      const load = { ...createPromptLoad(30, { seed, phases }), slow };
      const results = await simulatePlacement(load, (nowMs) => createPolicy(load, nowMs));
      for (const result of results.values()) inTime += result.inTime;
    }
    return inTime;
  };
  const slow = { share: 0.2, factor: 4, fromMs: 3_000, untilMs: 8_000, statesPace: false };
  const sound = await countInTime(undefined, createPlacerPolicy);
  const unstated = await countInTime(slow, createPlacerPolicy);
  const stated = await countInTime({ ...slow, statesPace: true }, createPlacerPolicy);
  const least = await countInTime(slow, createLeastOutstandingPolicy);
  t.log({ sound, unstated, stated, least });
  // A fifth of the prompts of these 5 s would be late if placement did not react at all.
  const unheeded = sound * 0.2 * 0.5;
  t.true(sound - stated < unheeded);
  t.true(stated > unstated && unstated > least);
});

test("with more short prompts than slots, the placer earns more credit than the least-outstanding policy", async (t) => {
  const placer = await simulate(OVERLOAD, createPlacerPolicy);
  const least = await simulate(OVERLOAD, createLeastOutstandingPolicy);
  t.log({ placer, least });
  t.true(placer.short > least.short && placer.long > least.long);
});
