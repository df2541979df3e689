import { LANES } from "./lanes.ts";
import { maxLongEngines } from "./pool_state.ts";
import type { PoolState } from "./pool_state.ts";

/** Describes a pool's servers, lanes and suspects for operators. */
export function describePool(pool: PoolState): Record<string, unknown> {
  const nowMs = pool.options.clock.nowMs();
  return {
    pool: pool.name,
    servers: [...pool.servers.values()].map((server) => ({
      id: server.id,
      isOpen: server.isOpen,
      isKnown: server.isKnown,
      warmth: server.warmth,
      limit: server.limit,
      granted: server.reservations.size,
      foreign: server.foreign.size,
      grantedTokens: server.grantedTokens,
      foreignTokens: server.foreignTokens,
      memoryTokens: server.cfg.memoryTokens,
      workLeftMs: Math.max(0, Math.round(server.freeAtMs.long - nowMs)),
    })),
    lanes: LANES.map((lane) => ({ lane, waiting: pool.lanes.of(lane).length })),
    claims: pool.claims.map(({ req, claim }) => ({ requestId: req.requestId, servers: claim })),
    longEngines: maxLongEngines(pool),
    suspects: pool.suspects.list(),
  };
}
