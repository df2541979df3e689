import type { HostsChange } from "../messages.ts";
import type { HostEntry } from "../types.ts";

/** Finds out which hosts came and went. */
export interface HostsDiff {
  /** What changed since the last call; undefined without a change. */
  take(): HostsChange | undefined;
}

/**
 * Creates the difference between two looks at the live hosts. Its size is that of the change, where
 * the whole list to every host would grow with the square of their number.
 *
 * @param list present hosts
 * @returns the difference, which takes no host as known at first
 *
 * @example
 * const diff = createHostsDiff(() => hosts);
 * diff.take(); // { joined: hosts, left: [] }
 */
export function createHostsDiff(list: () => HostEntry[]): HostsDiff {
  let known = new Map<string, HostEntry>();
  return {
    take() {
      const present = new Map(list().map((entry) => [entry.host, entry]));
      const joined = [...present.values()]
        .filter(({ host, incarnation }) => known.get(host)?.incarnation !== incarnation);
      const left = [...known.keys()].filter((host) => !present.has(host));
      known = present;
      return joined.length === 0 && left.length === 0 ? undefined : { joined, left };
    },
  };
}
