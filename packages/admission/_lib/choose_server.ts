import type { Millis } from "@jaypass/kernel";
import { MAX_BACKLOG_MS } from "../constants.ts";
import type { AllowedLimit } from "./server_capacity.ts";
import { freeSlots, freeTokens, isUsable } from "./server_capacity.ts";
import type { WaitingRequest } from "./lanes.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { ServerState } from "./server_state.ts";

/** Delay of a request on an engine that runs a long prefill and serves it between two chunks. */
const LONG_INTERFERENCE_MS = 40;
/**
 * Delay per running request, because running requests share the batch. It also directs requests
 * away from engines that are slower than configured, on which running requests accumulate.
 */
const BATCH_INTERFERENCE_MS = 15;

/** Options of {@linkcode chooseServer}. */
export interface ServerChoiceOptions {
  servers: Iterable<ServerState>;
  allowedLimit: AllowedLimit;
  nowMs: Millis;
  prefixes: PrefixIndex;
  prefillTokensPerSecond: number;
  /**
   * Whether the request is suspected of crashing servers. It then goes to the server with the
   * fewest running requests, because a crash would interrupt them.
   */
  isSuspect: boolean;
  /** Whether claims, the limit of long prompts and the isolation of suspects permit a server. */
  isPermitted: (server: ServerState) => boolean;
}

/** The chosen server with the estimates for it. */
export interface ServerChoice {
  server: ServerState;
  firstTokenMs: Millis;
  prefillMs: Millis;
  cachedTokens: number;
}

/**
 * Chooses the server with the lowest estimated time to first token among those with free capacity.
 *
 * @param entry the waiting request
 * @param options servers, estimates and rules
 * @returns the choice, or `undefined` when no permitted server has free capacity
 */
export function chooseServer(
  entry: WaitingRequest,
  options: ServerChoiceOptions,
): ServerChoice | undefined {
  const { allowedLimit, nowMs, prefixes, prefillTokensPerSecond } = options;
  const neededTokens = entry.req.promptTokens + entry.req.maxTokens;
  let best: (ServerChoice & { score: number }) | undefined;
  for (const server of options.servers) {
    if (!isUsable(server, nowMs) || entry.req.exclude.includes(server.id)) continue;
    if (freeSlots(server, allowedLimit) < 1) continue;
    const freeMemoryTokens = freeTokens(server, allowedLimit);
    if (freeMemoryTokens < neededTokens || !options.isPermitted(server)) continue;
    const backlogMs = Math.max(0, server.freeAtMs[entry.lane] - nowMs);
    if (backlogMs > MAX_BACKLOG_MS) continue;
    const cachedTokens = Math.min(
      entry.req.promptTokens,
      prefixes.cachedTokens(server.id, entry.req.prefixBlocks),
    );
    const prefillMs = server.cfg.kind === "service"
      ? 0
      : (entry.req.promptTokens - cachedTokens) / prefillTokensPerSecond * 1_000;
    const firstTokenMs = backlogMs + prefillMs +
      (entry.lane !== "long" && server.longPrefillEndMs > nowMs ? LONG_INTERFERENCE_MS : 0) +
      server.reservations.size * (options.isSuspect ? 1_000 : BATCH_INTERFERENCE_MS);
    // The free share of memory counts for at most 1 ms: it decides between nearly equal estimates.
    const score = firstTokenMs -
      (freeMemoryTokens === Infinity ? 0 : freeMemoryTokens / server.cfg.memoryTokens);
    if (best === undefined || score < best.score) {
      best = { server, firstTokenMs, prefillMs, cachedTokens, score };
    }
  }
  return best;
}
