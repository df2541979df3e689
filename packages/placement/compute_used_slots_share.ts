import type { ServerLoad } from "./create_server_load.ts";

/**
 * Computes the share of the slots of some servers that are in use.
 *
 * @param loads loads of the servers
 * @returns 0 for idle servers or none, 1 where all slots are in use, more where requests wait at servers
 *
 * @example
 * computeUsedSlotsShare(registry.listUsable(job)); // 0.75
 */
export function computeUsedSlotsShare(loads: readonly ServerLoad[]): number {
  const slots = loads.reduce((sum, load) => sum + load.server.slots, 0);
  const requests = loads.reduce((sum, load) => sum + load.requests(), 0);
  return slots === 0 ? 0 : requests / slots;
}
