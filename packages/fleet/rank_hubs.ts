import { createHash } from "node:crypto";
import type { HostEntry } from "./types.ts";

const HASH_BYTES = 6;

/** Scores kept; beyond it all are computed anew, since hosts are replaced over the months. */
const MAX_SCORES = 4_096;

/** Scores of hosts; they depend on the name alone and are asked for with each review of hubs. */
const scores = new Map<string, number>();

/**
 * Orders hosts by their fitness as hubs, the same way on every host: the abler ones first, since a
 * hub works for all hosts, and equal ones by rendezvous hashing, so that a host that comes or goes
 * changes the place of no other.
 *
 * @param hosts live hosts
 * @returns the hosts, the best hub first
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
