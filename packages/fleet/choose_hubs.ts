import { HUB_COUNT } from "./constants.ts";
import { rankHubs } from "./rank_hubs.ts";
import type { HostEntry } from "./types.ts";

/**
 * Chooses the primary and the standby hub. The standby is in another data centre where possible,
 * because a data centre can fail as a whole.
 *
 * @param hosts hosts that may be hubs
 * @returns the primary and the standby; fewer entries when there are fewer than two hosts
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
