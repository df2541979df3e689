import type { Millis } from "@jaypass/kernel";
import { MAX_BACKLOG_MS } from "../constants.ts";
import type { AllowedLimit } from "./server_capacity.ts";
import { freeSlots, freeTokens, isUsable } from "./server_capacity.ts";
import type { WaitingRequest } from "./lanes.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { ServerState } from "./server_state.ts";

/** Delay that a long prefill on the same engine causes to others between two of its chunks. */
const LONG_INTERFERENCE_MS = 40;
/**
 * Delay per running request, which shares the batch. It also evens out engines that are slower than
 * configured, on which requests gather.
 */
const BATCH_INTERFERENCE_MS = 15;

/** What the choice is made from. */
export interface ServerChoiceOptions {
  servers: Iterable<ServerState>;
  allowedLimit: AllowedLimit;
  nowMs: Millis;
  prefixes: PrefixIndex;
  prefillTokensPerSecond: number;
  /** Suspects go to the server with the least other work, which a crash would interrupt. */
  isSuspect: boolean;
  /** Whether the rules beyond capacity (claims, long share, isolation) let the request use it. */
  isPermitted: (server: ServerState) => boolean;
}

/** A server for a request with the estimate that chose it. */
export interface ServerChoice {
  server: ServerState;
  firstTokenMs: Millis;
  prefillMs: Millis;
  cachedTokens: number;
}

/**
 * Chooses the server with the lowest estimated time to first token among those with room.
 *
 * @param entry the waiting request
 * @param options servers and rules
 * @returns the choice, or nothing while no server has room
 */
export function chooseServer(
  entry: WaitingRequest,
  options: ServerChoiceOptions,
): ServerChoice | undefined {
  const { allowedLimit: allow, nowMs, prefixes, prefillTokensPerSecond } = options;
  const need = entry.req.promptTokens + entry.req.maxTokens;
  let best: (ServerChoice & { score: number }) | undefined;
  for (const server of options.servers) {
    if (!isUsable(server, nowMs) || entry.req.exclude.includes(server.id)) continue;
    if (freeSlots(server, allow) < 1) continue;
    const memory = freeTokens(server, allow);
    if (memory < need || !options.isPermitted(server)) continue;
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
    // Below a millisecond the estimates are equal, and the emptier memory decides.
    const score = firstTokenMs - (memory === Infinity ? 0 : memory / server.cfg.memoryTokens);
    if (best === undefined || score < best.score) {
      best = { server, firstTokenMs, prefillMs, cachedTokens, score };
    }
  }
  return best;
}
