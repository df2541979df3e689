import { HUB_COUNT } from "./constants.ts";
import { rankHubs } from "./rank_hubs.ts";
import type { HostEntry } from "./types.ts";

/**
 * Chooses the hubs of a host: the best host, and the best one of another data centre to stand by,
 * since a data centre fails as a whole.
 *
 * @param hosts hosts that may be hubs
 * @returns at most two hosts, the one that decides first
 *
 * @example
 * const [first, second] = chooseHubs(hosts);
 */
export function chooseHubs(hosts: readonly HostEntry[]): HostEntry[] {
  const [first, ...others] = rankHubs(hosts);
  if (first === undefined) return [];
  const second = others.find((entry) => entry.dataCentre !== first.dataCentre) ?? others[0];
  return [first, ...(second === undefined ? [] : [second])].slice(0, HUB_COUNT);
}
