import type { AcquireRequest } from "../types.ts";
import type { AllowedLimit } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/** Part of an engine's memory that a set may take; the rest stays for short prompts. */
const SET_MEMORY_SHARE = 0.9;

/** Engines that hold one prompt together. */
export interface EngineSet {
  servers: string[];
  /** Tokens of memory needed on each. */
  tokensPerServer: number;
}

/**
 * Declares the engines for a prompt: one when it fits into one, else as few as hold it together.
 *
 * Engines that are not busy come first, then those with more free memory, then by id, so that the
 * declaration is deterministic.
 *
 * @param req the request
 * @param options open servers, allowance, and which servers are busy
 * @returns the set, or nothing when the pool cannot hold the prompt
 */
export function selectEngineSet(req: AcquireRequest, options: {
  servers: readonly ServerState[];
  allow: AllowedLimit;
  /** Whether a server should be taken only when others do not suffice. */
  isBusy: (server: ServerState) => boolean;
}): EngineSet | undefined {
  const need = req.promptTokens + req.maxTokens;
  const capacity = (server: ServerState) => Math.max(0, options.allow(server.cfg.memoryTokens));
  const usable = options.servers
    .filter((server) => server.isOpen && !req.exclude.includes(server.id))
    .sort((a, b) =>
      Number(options.isBusy(a)) - Number(options.isBusy(b)) ||
      (capacity(b) - b.grantedTokens - b.foreignTokens) -
        (capacity(a) - a.grantedTokens - a.foreignTokens) ||
      (a.id < b.id ? -1 : 1)
    );
  const whole = usable.find((server) => capacity(server) >= need);
  if (whole !== undefined) return { servers: [whole.id], tokensPerServer: need };
  for (let k = 2; k <= usable.length; k++) {
    const tokensPerServer = Math.ceil(need / k);
    const chosen = usable.filter((server) =>
      capacity(server) * SET_MEMORY_SHARE >= tokensPerServer
    );
    if (chosen.length >= k) {
      return { servers: chosen.slice(0, k).map((server) => server.id), tokensPerServer };
    }
  }
  return undefined;
}
