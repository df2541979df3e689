import type { Millis } from "@jaypass/kernel";
import { computePassMs } from "./compute_pass_ms.ts";
import { computePrefillMs } from "./compute_prefill_ms.ts";
import type { EngineProfile, PlacementJob } from "./types.ts";

/**
 * Computes the work of a request in milliseconds of one engine: its prefill, and its part of the passes
 * of a full engine.
 *
 * @param job the request
 * @param profile cost model of the engine
 * @returns engine milliseconds; an engine does one of them in a millisecond
 *
 * @example
 * computeEngineMs({ promptTokens: 5_000, answerTokens: 1_000 }, profile); // about 210
 */
export function computeEngineMs(
  job: Pick<PlacementJob, "promptTokens" | "answerTokens">,
  profile: EngineProfile,
): Millis {
  const { slots, usualPromptTokens, stepsPerPass } = profile;
  const passMs = computePassMs(slots, slots * usualPromptTokens, profile);
  return computePrefillMs(job.promptTokens, profile) +
    job.answerTokens / stepsPerPass * passMs / slots;
}
