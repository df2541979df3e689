import type { Millis } from "@jaypass/kernel";
import { FALLBACK_DELAY_MS, FALLBACK_FOLLOWER_COUNT, FALLBACK_STAGGER_MS } from "./constants.ts";
import type { TableAge } from "./types.ts";

/** How old a host's copy of a table is, and how old it may be. */
export interface TableFreshness extends TableAge {
  /** Position of this host among the hosts that are not hubs, in the order of `rankHubs`. */
  fallbackRank: number;
  /** Age in milliseconds from which on the copy is stale. */
  staleMs: Millis;
}

/**
 * Decides whether a host that is not a hub reads a table itself, because its hubs do not read it.
 *
 * If all hosts started at once, a store that is down or rejects the hubs would receive calls in
 * proportion to the number of hosts. Therefore FALLBACK_FOLLOWER_COUNT hosts start as soon as no hub
 * reads the store; the remaining ones start one after another while none of the first succeeds.
 *
 * @param freshness the host's rank, and the age of its copy of the table
 * @returns true while the host has to read the table
 *
 * @example
 * shouldFollowStore({ fallbackRank: 3, staleMs: 1_300, hubAgeMs: 1_500, ageMs: 200 }); // true
 */
export function shouldFollowStore(
  { fallbackRank: rank, staleMs, hubAgeMs, ageMs }: TableFreshness,
): boolean {
  if (rank < FALLBACK_FOLLOWER_COUNT) return hubAgeMs >= staleMs;
  const delayMs = FALLBACK_DELAY_MS + (rank - FALLBACK_FOLLOWER_COUNT) * FALLBACK_STAGGER_MS;
  return ageMs >= staleMs + delayMs;
}
