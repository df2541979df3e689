import { createHash } from "node:crypto";

/** Bytes of a hash that a rotation is computed from. */
const HASH_BYTES = 6;

/**
 * Ranks a host among others, so that hosts can select a few of them without messages. Each key rotates
 * the order, so that other hosts come first for other keys.
 *
 * @param host name of the host, which is one of `hosts`
 * @param options names of all hosts in any order, and the key
 * @returns the rank, 0 for the first; two hosts that know the same hosts never have the same one
 *
 * @example
 * rankAmongHosts("h2", { hosts: ["h1", "h2", "h3"], key: "s1" });
 */
export function rankAmongHosts(
  host: string,
  { hosts, key }: { hosts: readonly string[]; key: string },
): number {
  const rotation = createHash("sha1").update(key).digest().readUIntBE(0, HASH_BYTES);
  const position = hosts.filter((other) => other < host).length;
  return (position + rotation) % hosts.length;
}
