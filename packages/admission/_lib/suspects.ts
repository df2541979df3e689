import type { Clock, Millis } from "@jaypass/kernel";
import { LRUCache } from "lru-cache";
import { SUSPECT_TTL_MS } from "../constants.ts";
import type { ServerState } from "./server_state.ts";

/** Fingerprints that have run well, remembered so that popular prompts run without limits. */
const PROVEN_FINGERPRINTS = 50_000;
/** Servers on which a fingerprint without a successful run may be at the same time. */
const UNPROVEN_SERVERS = 2;

/** Deaths after which a fingerprint is convicted. */
const DEATHS_TO_CONVICT = 2;

/** Fingerprints that ran on a server when it died. */
export interface Suspects {
  isSuspect(fingerprint: string): boolean;
  /** Makes a fingerprint a suspect on the word of another pool. */
  add(fingerprint: string): void;
  /** Counts the death of a server that a fingerprint ran on. @returns whether this convicts it */
  countCrash(fingerprint: string, serverId: string): boolean;
  /**
   * Notes that a connection broke, which may turn out to be a death. Until that is known the
   * fingerprint is treated as a suspect, and counts as near conviction.
   */
  addPossibleCrash(fingerprint: string, serverId: string): void;
  /** The server has not died since. */
  removePossibleCrash(fingerprint: string, serverId: string): void;
  /** Clears a fingerprint after a run that ended well. */
  clear(fingerprint: string): void;
  /**
   * Tells whether a fingerprint may run on a server now.
   *
   * A suspect runs with no other suspect on its server and one run at a time, and not at all while
   * broken connections may still turn out to convict it. A fingerprint that has not yet run well is
   * kept to two servers, so that copies of a poison request that arrive together cannot crash more.
   */
  mayRun(fingerprint: string, server: ServerState): boolean;
  startRun(fingerprint: string, serverId: string): void;
  endRun(fingerprint: string, serverId: string): void;
  list(): string[];
}

interface Suspicion {
  untilMs: Millis;
  deaths: number;
  pending: Set<string>;
}

/** Creates an empty list of suspects. */
export function createSuspects(clock: Clock): Suspects {
  const suspicions = new Map<string, Suspicion>();
  const proven = new LRUCache<string, true>({ max: PROVEN_FINGERPRINTS });
  /** Runs by fingerprint and server. */
  const running = new Map<string, Map<string, number>>();
  const find = (fingerprint: string) => {
    const found = suspicions.get(fingerprint);
    if (found !== undefined && found.untilMs <= clock.nowMs()) suspicions.delete(fingerprint);
    return suspicions.get(fingerprint);
  };
  const suspect = (fingerprint: string) => {
    const found = find(fingerprint) ?? { untilMs: 0, deaths: 0, pending: new Set<string>() };
    found.untilMs = clock.nowMs() + SUSPECT_TTL_MS;
    suspicions.set(fingerprint, found);
    proven.delete(fingerprint);
    return found;
  };
  const isSuspect = (fingerprint: string) => find(fingerprint) !== undefined;
  return {
    isSuspect,
    add(fingerprint) {
      const found = suspect(fingerprint);
      found.deaths = Math.max(1, found.deaths);
    },
    countCrash(fingerprint, serverId) {
      const found = suspect(fingerprint);
      found.pending.delete(serverId);
      found.deaths += 1;
      return found.deaths >= DEATHS_TO_CONVICT;
    },
    addPossibleCrash: (fingerprint, serverId) => void suspect(fingerprint).pending.add(serverId),
    removePossibleCrash(fingerprint, serverId) {
      const found = find(fingerprint);
      if (found === undefined) return;
      found.pending.delete(serverId);
      if (found.pending.size + found.deaths === 0) suspicions.delete(fingerprint);
    },
    clear(fingerprint) {
      suspicions.delete(fingerprint);
      proven.set(fingerprint, true);
    },
    mayRun(fingerprint, server) {
      const runs = running.get(fingerprint);
      const found = find(fingerprint);
      if (found === undefined) {
        return runs === undefined || runs.size < UNPROVEN_SERVERS || runs.has(server.id) ||
          proven.has(fingerprint);
      }
      if (runs !== undefined || found.deaths + found.pending.size >= DEATHS_TO_CONVICT) {
        return false;
      }
      for (const reservation of server.reservations.values()) {
        if (isSuspect(reservation.fingerprint)) return false;
      }
      return true;
    },
    startRun(fingerprint, serverId) {
      const runs = running.get(fingerprint) ?? new Map<string, number>();
      runs.set(serverId, (runs.get(serverId) ?? 0) + 1);
      running.set(fingerprint, runs);
    },
    endRun(fingerprint, serverId) {
      const runs = running.get(fingerprint);
      if (runs === undefined) return;
      const left = (runs.get(serverId) ?? 0) - 1;
      if (left > 0) runs.set(serverId, left);
      else runs.delete(serverId);
      if (runs.size === 0) running.delete(fingerprint);
    },
    list: () => [...suspicions.keys()].filter(isSuspect),
  };
}
