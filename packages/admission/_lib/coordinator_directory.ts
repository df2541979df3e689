import type { Membership } from "@jaypass/membership";
import type { CoordinationTarget } from "./coordinator_set.ts";
import { rankCandidates } from "./rank_candidates.ts";

/** Where the coordinator of each pool was last seen. */
export interface CoordinatorDirectory {
  /** Addresses to ask, the last known coordinator first. */
  addresses(pool: CoordinationTarget): string[];
  /** Notes that an address answered as coordinator; a newer one that announced itself stays first. */
  recordAnswer(pool: string, address: string): void;
  /** Notes that a new coordinator has announced itself. */
  recordAnnouncement(pool: string, address: string): void;
  /** Forgets an address that did not answer or is not the coordinator. */
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
