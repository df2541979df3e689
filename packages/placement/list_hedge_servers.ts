import type { Millis } from "@jaypass/kernel";
import { MIN_HEDGE_FREE_SHARE } from "./constants.ts";
import type { ServerLoad } from "./create_server_load.ts";

/** Options of {@linkcode listHedgeServers}. */
export interface HedgeServerOptions {
  /** Servers of the service, including those that the job must not be sent to. */
  all: readonly ServerLoad[];
  /** Servers that may get the job now: not excluded, not leaving, and within their cold limit. */
  available: readonly ServerLoad[];
  /** Number of prompts that wait at this placer. */
  waitingCount: number;
  /** Monotonic time. */
  nowMs: Millis;
}

/**
 * Lists the servers that may get the second run of a request that is merely slower than usual.
 *
 * Under load, every request is slower than usual, and hedges would add to the load. Therefore there is
 * none while prompts wait or while less than a quarter of the slots is free, and none at a server that
 * is cold, suspect or full.
 *
 * @param options servers and queues of the placer
 * @returns the servers; empty if the request must not be hedged
 *
 * @example
 * const servers = listHedgeServers({ all, available, waitingCount: slotQueue.size(), nowMs });
 */
export function listHedgeServers(options: HedgeServerOptions): ServerLoad[] {
  const { all, available, waitingCount, nowMs } = options;
  if (waitingCount > 0) return [];
  const slots = all.reduce((sum, { server }) => sum + server.slots, 0);
  const freeSlots = all.reduce((sum, load) => sum + countFreeSlots(load), 0);
  if (freeSlots < MIN_HEDGE_FREE_SHARE * slots) return [];
  return available.filter((load) =>
    countFreeSlots(load) > 0 && !load.isSuspect() && nowMs > load.server.coldUntilMs
  );
}

function countFreeSlots(load: ServerLoad): number {
  return Math.max(0, load.server.slots - load.requests());
}
