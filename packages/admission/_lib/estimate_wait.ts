import type { Millis } from "@jaypass/kernel";
import type { Lane } from "../types.ts";
import { LANES } from "./lanes.ts";
import type { Lanes } from "./lanes.ts";
import { freeSlots } from "./server_capacity.ts";
import type { AllowedLimit } from "./server_capacity.ts";
import type { ServerState } from "./server_state.ts";

/** Options of {@linkcode estimateWait}. */
export interface WaitEstimateOptions {
  lanes: Lanes;
  /** Servers of the pool that may get new grants. */
  servers: readonly ServerState[];
  allowedLimit: AllowedLimit;
  nowMs: Millis;
  /** Number of engines that may run long prompts at the same time. */
  maxLongEngines: number;
  /** Average time for which a grant is held, in milliseconds. */
  averageHoldMs: Millis;
}

/**
 * Estimates how long a request would wait before it is granted.
 *
 * @param lane lane of the request
 * @param firstTokenDeadlineMs monotonic deadline of its first token, by which the lane is ordered
 * @param options state of the pool
 * @returns milliseconds, `Infinity` without a server
 */
export function estimateWait(
  lane: Lane,
  firstTokenDeadlineMs: Millis,
  options: WaitEstimateOptions,
): Millis {
  const {
    lanes,
    servers,
    allowedLimit,
    nowMs,
    maxLongEngines,
    averageHoldMs,
  } = options;
  if (servers.length === 0) return Infinity;
  let prefillAheadMs = 0;
  let requestsAhead = 0;
  for (const other of LANES) {
    for (const entry of lanes.of(other)) {
      if (other === lane && entry.firstTokenDeadlineMs > firstTokenDeadlineMs) break;
      prefillAheadMs += entry.prefillMs;
      requestsAhead += 1;
    }
    if (other === lane) break;
  }
  const engines = lane === "long" ? Math.min(maxLongEngines, servers.length) : servers.length;
  const backlogs = servers.map((server) => Math.max(0, server.freeAtMs[lane] - nowMs));
  const prefillWaitMs = Math.min(...backlogs) + prefillAheadMs / engines;
  // A server whose running work is not known yet counts as free, so that no request is refused on a
  // guess while a new coordinator collects the running work.
  const slotsOf = (server: ServerState) =>
    server.isKnown
      ? Math.max(0, freeSlots(server, allowedLimit))
      : allowedLimit(server.cfg.warmLimit);
  const slots = servers.reduce((sum, server) => sum + slotsOf(server), 0);
  const limit = servers.reduce((sum, server) => sum + Math.max(0, allowedLimit(server.limit)), 0);
  const slotWaitMs = requestsAhead < slots
    ? 0
    : averageHoldMs * (requestsAhead + 1 - slots) / Math.max(1, limit);
  return Math.max(prefillWaitMs, slotWaitMs);
}
