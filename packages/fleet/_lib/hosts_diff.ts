import type { HostsChange } from "../messages.ts";
import type { HostEntry } from "../types.ts";

/** Tracks changes in the set of live hosts. */
export interface HostsDiff {
  /** Returns the changes since the last call; undefined when there are none. */
  takeChange(): HostsChange | undefined;
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
  return {
    takeChange() {
      const present = new Map(list().map((entry) => [entry.host, entry]));
      const joined = [...present.values()]
        .filter(({ host, incarnation }) => known.get(host)?.incarnation !== incarnation);
      const left = [...known.keys()].filter((host) => !present.has(host));
      known = present;
      return joined.length === 0 && left.length === 0 ? undefined : { joined, left };
    },
  };
}
