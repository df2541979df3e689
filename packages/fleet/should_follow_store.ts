import type { Millis } from "@jaypass/kernel";
import {
  FALLBACK_DELAY_MS,
  FALLBACK_FOLLOWER_COUNT,
  FALLBACK_STAGGER_MS,
  VIEW_STALE_MS,
} from "./constants.ts";

/** How recently the hubs of a host read the store. */
export interface HubFreshness {
  /** Position of this host among the hosts that are not hubs, in the order of `rankHubs`. */
  fallbackRank: number;
  /** Milliseconds since a hub itself read the servers table. */
  hubAgeMs: Millis;
  /** Milliseconds since a hub or one of its members read the servers table. */
  viewAgeMs: Millis;
}

/**
 * Decides whether a host that is not a hub reads the store itself, because its hubs cannot reach it.
 *
 * If all hosts started at once, a store that is down or rejects the hubs would receive calls in
 * proportion to the number of hosts. Therefore FALLBACK_FOLLOWER_COUNT hosts start as soon as no hub
 * reads the store; the remaining ones start one after another while none of the first succeeds.
 *
 * @param freshness the host's rank and the age of its hubs' rows
 * @returns true while the host has to read the store
 *
 * @example
 * shouldFollowStore({ fallbackRank: 3, hubAgeMs: 1_500, viewAgeMs: 200 }); // true
 */
export function shouldFollowStore(
  { fallbackRank: rank, hubAgeMs, viewAgeMs }: HubFreshness,
): boolean {
  if (rank < FALLBACK_FOLLOWER_COUNT) return hubAgeMs >= VIEW_STALE_MS;
  const delayMs = FALLBACK_DELAY_MS + (rank - FALLBACK_FOLLOWER_COUNT) * FALLBACK_STAGGER_MS;
  return viewAgeMs >= VIEW_STALE_MS + delayMs;
}
