import type { EngineLog } from "../engine_types.ts";

/** Creates the empty log of an engine. */
export function createEngineLog(id: string): EngineLog {
  return {
    id: id,
    restartCount: 0,
    cold: true,
    accepted: [],
    acceptedTotal: 0,
    refused: {},
    highestWhileCold: 0,
    highestConcurrency: 0,
    running: 0,
    waiting: 0,
    heldTokens: 0,
    usedTokens: 0,
    highestUsedTokens: 0,
    crashes: [],
    orders: [],
    generatedTokens: 0,
  };
}
