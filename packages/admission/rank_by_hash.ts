import { createHash } from "node:crypto";

/**
 * Ranks ids by rendezvous hashing: adding or removing an id moves only the keys placed on it.
 *
 * @param key key to be placed, for example a pool name
 * @param ids ids to be ranked
 * @returns the ids, highest weight first
 *
 * @example
 * const [first, second] = rankByHash("small@gent", ["h1", "h2", "h3"]);
 */
export function rankByHash(key: string, ids: readonly string[]): string[] {
  const weigh = (id: string) =>
    createHash("sha256").update(`${key}\0${id}`).digest().readUIntBE(0, 6);
  return ids.map((id) => ({ id, weight: weigh(id) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}
