import type { EngineSettings } from "../engine_types.ts";
import type { EngineJob } from "./engine_job.ts";

/** Work of one step of the engine. */
export interface StepPlan {
  prefill: [EngineJob, number][];
  /** Duration on a warm engine at time scale 1, in milliseconds; 0 if there is no work. */
  durationMs: number;
}

/** Plans a step: a prefill chunk, filled by priority, and a token for each decoding request. */
export function planStep(running: readonly EngineJob[], settings: EngineSettings): StepPlan {
  let budget = settings.prefillChunkTokens;
  const prefill: [EngineJob, number][] = [];
  const inPrefill = running
    .filter((job) => job.computedTokens < job.prefillTo)
    .sort((a, b) => a.priority - b.priority || a.order - b.order);
  for (const job of inPrefill) {
    if (budget === 0) break;
    const tokens = Math.min(budget, job.prefillTo - job.computedTokens);
    prefill.push([job, tokens]);
    budget -= tokens;
  }
  const decoding =
    running.filter((job) =>
      !job.isPart && job.computedTokens >= job.prefillTo && !(job.isStuck && job.tokens.length > 0)
    ).length;
  const decodeMs = decoding === 0
    ? 0
    : settings.msPerOutputToken * (1 + settings.batchGrowth * (decoding - 1));
  const chunkTokens = settings.prefillChunkTokens - budget;
  return { prefill, durationMs: decodeMs + chunkTokens / settings.prefillTokensPerSecond * 1_000 };
}
