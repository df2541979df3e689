import type { EngineProfile } from "@jaypass/placement";
import type { PlacementLoad, PromptKind } from "../simulate_placement.ts";

/** Engines of the simulated loads. */
const PROFILE: EngineProfile = {
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
};

/** Kinds of prompts, with rates per engine in requests per second. */
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
    perSecond: 0.035,
    events: 20,
    goalMs: 4_000,
    pauseGoalMs: 1_000,
    abandonAfterMs: 15_000,
    urgency: 6,
    lateCreditShare: 0.25,
  },
];

/**
 * Creates a load of short, middle and long prompts whose rates grow with the number of engines.
 *
 * @param engines number of engines
 * @param options phases and seed of the load
 * @returns the load
 */
export function createPromptLoad(
  engines: number,
  options: Pick<PlacementLoad, "phases" | "seed">,
): PlacementLoad {
  return {
    ...options,
    engines,
    profile: PROFILE,
    kinds: KINDS.map((kind) => ({ ...kind, perSecond: kind.perSecond * engines })),
  };
}
