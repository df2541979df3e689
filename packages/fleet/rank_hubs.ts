import { createHash } from "node:crypto";
import type { HostEntry } from "./types.ts";

const HASH_BYTES = 6;
const HASH_RANGE = 2 ** 48;

/**
 * Orders hosts by their fitness as hubs, the same way on every host: weighted rendezvous hashing,
 * so that a host that comes or goes changes the place of no other, and abler hosts come first.
 *
 * @param hosts live hosts
 * @returns the hosts, the best hub first
 *
 * @example
 * const [first] = rankHubs(hosts);
 */
export function rankHubs(hosts: readonly HostEntry[]): HostEntry[] {
  return hosts
    .map((entry) => ({ entry, score: scoreOf(entry) }))
    .sort((a, b) => b.score - a.score || (a.entry.host < b.entry.host ? -1 : 1))
    .map(({ entry }) => entry);
}

function scoreOf(entry: HostEntry): number {
  const hash = createHash("sha1").update(`hub/${entry.host}`).digest().readUIntBE(0, HASH_BYTES);
  return -entry.weight / Math.log((hash + 0.5) / HASH_RANGE);
}
