import type { Clock } from "@jaypass/kernel";
import type { EngineProfile, PlacementJob, PlacementServer } from "../types.ts";

/** Creates a clock that only advances on request. */
export function createManualClock(): Clock & { advance(ms: number): void } {
  let nowMs = 0;
  return { nowMs: () => nowMs, wallMs: () => nowMs, advance: (ms) => void (nowMs += ms) };
}

/** Cost model of an engine that prefills 150 tokens per millisecond. */
export const PROFILE: EngineProfile = {
  slots: 8,
  memoryTokens: 400_000,
  stepMs: 1.3,
  perWriterMs: 0.001,
  contextMsPerThousand: 0.002,
  readTokensPerMs: 150,
  pairMsPerMillion: 0.16,
  stepsPerPass: 34,
  chunkTokens: 2_048,
  usualPromptTokens: 11_000,
  usualAnswerTokens: 1_250,
};

/** Makes servers `s1`, `s2` and so on of one service. */
export function makeServers(count: number, service = "model"): PlacementServer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `s${index + 1}`,
    service,
    address: `10.0.0.${index + 1}:80`,
    dataCentre: "a",
    slots: 8,
    bornMs: 0,
    coldUntilMs: 0,
  }));
}

let nextId = 1;

/** Makes a job for a short streamed request, with the given changes. */
export function makeJob(changes: Partial<PlacementJob> = {}): PlacementJob {
  return {
    id: `job-${nextId++}`,
    service: "model",
    promptTokens: 5_000,
    answerTokens: 1_000,
    goalMs: 300,
    pauseGoalMs: 250,
    remainingMs: 60_000,
    wholeWithinMs: 60_000,
    elapsedMs: 0,
    excludedIds: [],
    isRetry: false,
    fingerprint: "f",
    parts: [],
    isContinuation: false,
    isRepeatable: true,
    ...changes,
  };
}
