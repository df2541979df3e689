import type { Millis } from "@jaypass/kernel";
import {
  FALLBACK_DELAY_MS,
  FALLBACK_FOLLOWER_COUNT,
  FALLBACK_STAGGER_MS,
  VIEW_STALE_MS,
} from "./constants.ts";

/** What a host knows of its hubs' contact with the store. */
export interface HubFreshness {
  /** Place of this host among those that are no hubs, the abler ones first. */
  fallbackRank: number;
  /** Time since a hub itself read the servers' rows. */
  hubAgeMs: Millis;
  /** Time since a hub or one of its members did. */
  viewAgeMs: Millis;
}

/**
 * Decides whether a host that is no hub follows the store, since its hubs do not reach it.
 *
 * The load it answers: a store that is down, or turns hubs away, under many hosts. If all of them
 * followed at once, each outage would get calls in proportion to the hosts. A few scouts follow
 * while no hub reads the store itself; the others begin one after another when no scout succeeds.
 *
 * @param contact the host's place and its hubs' contact with the store
 * @returns true while the host has to follow the store
 *
 * @example
 * mustScout({ rank: 3, hubAgeMs: 1_500, viewAgeMs: 200 }); // true
 */
export function shouldFollowStore(
  { fallbackRank: rank, hubAgeMs, viewAgeMs }: HubFreshness,
): boolean {
  if (rank < FALLBACK_FOLLOWER_COUNT) return hubAgeMs >= VIEW_STALE_MS;
  const delayMs = FALLBACK_DELAY_MS + (rank - FALLBACK_FOLLOWER_COUNT) * FALLBACK_STAGGER_MS;
  return viewAgeMs >= VIEW_STALE_MS + delayMs;
}
