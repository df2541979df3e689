import { createHash } from "node:crypto";
import type { HostEntry } from "./types.ts";

const HASH_BYTES = 6;

/**
 * Maximum number of cached scores. The cache is cleared when it is full, so that the names of
 * replaced hosts do not accumulate.
 */
const MAX_SCORES = 4_096;

/** Cached scores by host name, because hubs are selected several times a second. */
const scores = new Map<string, number>();

/**
 * Ranks hosts by their suitability as hubs, with the same result on every host.
 *
 * Hosts with a larger weight come first, because a hub works for all hosts. Hosts of equal weight are
 * ordered by rendezvous hashing, so that adding or removing a host does not reorder the others.
 *
 * @param hosts candidate hosts
 * @returns the hosts, the most suitable one first
 *
 * @example
 * const [first] = rankHubs(hosts);
 */
export function rankHubs(hosts: readonly HostEntry[]): HostEntry[] {
  return hosts
    .map((entry) => ({ entry, score: scoreOf(entry.host) }))
    .sort((a, b) =>
      b.entry.weight - a.entry.weight || b.score - a.score ||
      (a.entry.host < b.entry.host ? -1 : 1)
    )
    .map(({ entry }) => entry);
}

function scoreOf(host: string): number {
  const known = scores.get(host);
  if (known !== undefined) return known;
  const score = createHash("sha1").update(`hub/${host}`).digest().readUIntBE(0, HASH_BYTES);
  if (scores.size >= MAX_SCORES) scores.clear();
  scores.set(host, score);
  return score;
}
