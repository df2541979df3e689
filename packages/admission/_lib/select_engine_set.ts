import type { AcquireRequest } from "../types.ts";
import type { AllowedLimit } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/**
 * Share of an engine's memory that a set of engines may use; the rest is left for short prompts.
 */
const MAX_SET_MEMORY_SHARE = 0.9;

/** One or more engines that hold one prompt together. */
export interface EngineSet {
  servers: string[];
  /** Tokens of memory needed on each engine. */
  tokensPerServer: number;
}

/**
 * Selects the engines for a prompt: a single engine that it fits into, otherwise the smallest set.
 *
 * Engines that are not busy are preferred, then those with more free memory, then the lowest ids,
 * so that the result is deterministic.
 *
 * @param req the request
 * @param options servers, limits, and which servers are busy
 * @returns the set, or `undefined` when the servers cannot hold the prompt
 */
export function selectEngineSet(req: AcquireRequest, options: {
  servers: readonly ServerState[];
  allowedLimit: AllowedLimit;
  /** Whether a server should be used only when the others do not suffice. */
  isBusy: (server: ServerState) => boolean;
}): EngineSet | undefined {
  const neededTokens = req.promptTokens + req.maxTokens;
  const capacity = (server: ServerState) =>
    Math.max(0, options.allowedLimit(server.cfg.memoryTokens));
  const usable = options.servers
    .filter((server) => server.isOpen && !req.exclude.includes(server.id))
    .sort((a, b) =>
      Number(options.isBusy(a)) - Number(options.isBusy(b)) ||
      (capacity(b) - b.grantedTokens - b.foreignTokens) -
        (capacity(a) - a.grantedTokens - a.foreignTokens) ||
      (a.id < b.id ? -1 : 1)
    );
  const single = usable.find((server) => capacity(server) >= neededTokens);
  if (single !== undefined) return { servers: [single.id], tokensPerServer: neededTokens };
  for (let count = 2; count <= usable.length; count++) {
    const tokensPerServer = Math.ceil(neededTokens / count);
    const chosen = usable.filter((server) =>
      capacity(server) * MAX_SET_MEMORY_SHARE >= tokensPerServer
    );
    if (chosen.length >= count) {
      return { servers: chosen.slice(0, count).map((server) => server.id), tokensPerServer };
    }
  }
  return undefined;
}
