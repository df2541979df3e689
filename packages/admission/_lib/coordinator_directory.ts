import type { Membership } from "@jaypass/membership";
import type { CoordinationTarget } from "./coordinator_set.ts";
import { rankCandidates } from "./rank_candidates.ts";

/** Last known address of the coordinator of each pool and quota shard. */
export interface CoordinatorDirectory {
  /** Addresses to try: the last known coordinator, then the hosts that compete for the lease. */
  addresses(pool: CoordinationTarget): string[];
  /**
   * Records an address that answered as coordinator. A recorded address is kept, because it may be
   * that of a newer coordinator that has announced itself.
   */
  recordAnswer(pool: string, address: string): void;
  /** Records the address of a new coordinator that announced itself. */
  recordAnnouncement(pool: string, address: string): void;
  /** Removes an address that did not answer or is not the coordinator. */
  forget(pool: string, address: string): void;
}

/** Creates an empty directory. */
export function createCoordinatorDirectory(membership: Membership): CoordinatorDirectory {
  const known = new Map<string, string>();
  return {
    addresses(pool) {
      const candidates = rankCandidates(pool.name, {
        hosts: membership.hosts(),
        dataCentre: pool.dataCentre,
      }).map(({ peerAddress }) => peerAddress);
      const first = known.get(pool.name);
      return first === undefined
        ? candidates
        : [first, ...candidates.filter((address) => address !== first)];
    },
    recordAnswer(pool, address) {
      if (!known.has(pool)) known.set(pool, address);
    },
    recordAnnouncement: (pool, address) => void known.set(pool, address),
    forget(pool, address) {
      if (known.get(pool) === address) known.delete(pool);
    },
  };
}
