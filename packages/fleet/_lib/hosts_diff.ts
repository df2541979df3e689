import type { HostsChange } from "../messages.ts";
import type { HostEntry } from "../types.ts";

/** Tracks changes in the set of live hosts. */
export interface HostsDiff {
  /** Returns the changes since the last call; undefined when there are none. */
  takeChange(): HostsChange | undefined;
  /** Lists all live hosts for a new receiver of changes, to whom the next change applies as well. */
  listAll(): HostEntry[];
}

/**
 * Creates a tracker of changes in the set of live hosts. Sending only changes keeps the traffic
 * small: sending the whole list to every host would grow with the square of the number of hosts.
 *
 * @param list returns the hosts that are live now
 * @returns the tracker, whose first change lists all live hosts as joined
 *
 * @example
 * const diff = createHostsDiff(() => hosts);
 * diff.takeChange(); // { joined: hosts, left: [] }
 */
export function createHostsDiff(list: () => HostEntry[]): HostsDiff {
  let known = new Map<string, HostEntry>();
  /** Hosts that new receivers know of and that no change has named yet. */
  const listed = new Set<string>();
  return {
    listAll() {
      const entries = list();
      for (const { host } of entries) listed.add(host);
      return entries;
    },
    takeChange() {
      const present = new Map(list().map((entry) => [entry.host, entry]));
      const joined = [...present.values()]
        .filter(({ host, incarnation }) => known.get(host)?.incarnation !== incarnation);
      const left = [...new Set([...known.keys(), ...listed])].filter((host) => !present.has(host));
      known = present;
      listed.clear();
      return joined.length === 0 && left.length === 0 ? undefined : { joined, left };
    },
  };
}
