import type { Millis } from "@jaypass/kernel";
import type { Lane } from "../types.ts";
import { LANES } from "./lanes.ts";
import type { Lanes } from "./lanes.ts";
import { freeSlots } from "./server_capacity.ts";
import type { AllowedLimit } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/** What an estimate is made from. */
export interface WaitEstimateOptions {
  lanes: Lanes;
  /** Open servers of the pool. */
  servers: readonly ServerState[];
  allowedLimit: AllowedLimit;
  nowMs: Millis;
  /** Engines on which long work may run. */
  maxLongEngines: number;
  /** Average time for which a grant is held. */
  averageHoldMs: Millis;
}

/**
 * Estimates how long a request would wait before it is granted.
 *
 * @param lane its lane
 * @param firstTokenDeadlineMs its place in the lane, which is ordered by this time
 * @param options the state of the pool
 * @returns milliseconds, infinite when no server is open
 */
export function estimateWait(
  lane: Lane,
  firstTokenDeadlineMs: Millis,
  options: WaitEstimateOptions,
): Millis {
  const {
    lanes,
    servers,
    allowedLimit: allow,
    nowMs,
    maxLongEngines: longEngines,
    averageHoldMs: holdMs,
  } = options;
  if (servers.length === 0) return Infinity;
  let aheadMs = 0;
  let ahead = 0;
  for (const other of LANES) {
    for (const entry of lanes.of(other)) {
      if (other === lane && entry.firstTokenDeadlineMs > firstTokenDeadlineMs) break;
      aheadMs += entry.prefillMs;
      ahead += 1;
    }
    if (other === lane) break;
  }
  const engines = lane === "long" ? Math.min(longEngines, servers.length) : servers.length;
  const backlogs = servers.map((server) => Math.max(0, server.freeAtMs[lane] - nowMs));
  const prefillWaitMs = Math.min(...backlogs) + aheadMs / engines;
  // A server whose work is not known yet counts as free: a guess must not refuse requests while a
  // new coordinator collects.
  const slotsOf = (server: ServerState) =>
    server.isKnown ? Math.max(0, freeSlots(server, allow)) : allow(server.cfg.warmLimit);
  const slots = servers.reduce((sum, server) => sum + slotsOf(server), 0);
  const limit = servers.reduce((sum, server) => sum + Math.max(0, allow(server.limit)), 0);
  const slotWaitMs = ahead < slots ? 0 : holdMs * (ahead + 1 - slots) / Math.max(1, limit);
  return Math.max(prefillWaitMs, slotWaitMs);
}
