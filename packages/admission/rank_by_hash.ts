import { createHash } from "node:crypto";

/**
 * Ranks ids by rendezvous hashing, so that adding or removing one id moves only its own keys.
 *
 * @param key what is placed, for example a pool name
 * @param ids the places
 * @returns the ids, best place first
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
