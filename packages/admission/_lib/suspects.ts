import type { Clock, Millis } from "@jaypass/kernel";
import { LRUCache } from "lru-cache";
import { SUSPECT_TTL_MS } from "../constants.ts";
import type { ServerState } from "./server_state.ts";

/**
 * Number of fingerprints remembered after a successful run; they may run on any number of servers.
 */
const PROVEN_FINGERPRINTS = 50_000;
/** Servers on which a fingerprint without a successful run may run at the same time. */
const UNPROVEN_SERVERS = 2;

/** Number of crashes after which a fingerprint is quarantined. */
const CRASHES_TO_QUARANTINE = 2;

/** Fingerprints that are suspected of crashing servers, because they ran on one when it crashed. */
export interface Suspects {
  isSuspect(fingerprint: string): boolean;
  /** Adds a suspect that another pool has announced. */
  add(fingerprint: string): void;
  /** Counts a crash of a server that a fingerprint ran on. @returns whether to quarantine it */
  countCrash(fingerprint: string, serverId: string): boolean;
  /**
   * Records that a connection broke, which may turn out to be a crash. Until that is known, the
   * fingerprint is a suspect and the possible crash counts towards its quarantine.
   */
  addPossibleCrash(fingerprint: string, serverId: string): void;
  /** Removes a possible crash, because the server has not crashed. */
  removePossibleCrash(fingerprint: string, serverId: string): void;
  /** Takes back one counted crash, because the fingerprint did not run on the server. */
  retractCrash(fingerprint: string): void;
  /** Clears a fingerprint after a successful run. */
  clear(fingerprint: string): void;
  /**
   * Reports whether a fingerprint may run on a server now.
   *
   * A suspect runs one request at a time, on a server without another suspect, and not at all while
   * its possible crashes would suffice to quarantine it. A fingerprint without a successful run is
   * limited to two servers, so that copies of a poison request that arrive together cannot crash
   * more.
   */
  mayRun(fingerprint: string, server: ServerState): boolean;
  /** Records the start of a run on a server. */
  startRun(fingerprint: string, serverId: string): void;
  /** Records the end of a run on a server. */
  endRun(fingerprint: string, serverId: string): void;
  list(): string[];
}

interface Suspicion {
  untilMs: Millis;
  crashes: number;
  /** Servers that may have crashed. */
  pending: Set<string>;
}

/** Creates an empty list of suspects. */
export function createSuspects(clock: Clock): Suspects {
  const suspicions = new Map<string, Suspicion>();
  const proven = new LRUCache<string, true>({ max: PROVEN_FINGERPRINTS });
  /** Number of runs by fingerprint and server. */
  const running = new Map<string, Map<string, number>>();
  const find = (fingerprint: string) => {
    const found = suspicions.get(fingerprint);
    if (found !== undefined && found.untilMs <= clock.nowMs()) suspicions.delete(fingerprint);
    return suspicions.get(fingerprint);
  };
  const addSuspicion = (fingerprint: string) => {
    const found = find(fingerprint) ?? { untilMs: 0, crashes: 0, pending: new Set<string>() };
    found.untilMs = clock.nowMs() + SUSPECT_TTL_MS;
    suspicions.set(fingerprint, found);
    proven.delete(fingerprint);
    return found;
  };
  const isSuspect = (fingerprint: string) => find(fingerprint) !== undefined;
  return {
    isSuspect,
    add(fingerprint) {
      const found = addSuspicion(fingerprint);
      found.crashes = Math.max(1, found.crashes);
    },
    countCrash(fingerprint, serverId) {
      const found = addSuspicion(fingerprint);
      found.pending.delete(serverId);
      found.crashes += 1;
      return found.crashes >= CRASHES_TO_QUARANTINE;
    },
    addPossibleCrash: (fingerprint, serverId) =>
      void addSuspicion(fingerprint).pending.add(serverId),
    removePossibleCrash(fingerprint, serverId) {
      const found = find(fingerprint);
      if (found === undefined) return;
      found.pending.delete(serverId);
      if (found.pending.size + found.crashes === 0) suspicions.delete(fingerprint);
    },
    retractCrash(fingerprint) {
      const found = find(fingerprint);
      if (found === undefined) return;
      found.crashes = Math.max(0, found.crashes - 1);
      if (found.pending.size + found.crashes === 0) suspicions.delete(fingerprint);
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
      if (runs !== undefined || found.crashes + found.pending.size >= CRASHES_TO_QUARANTINE) {
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
