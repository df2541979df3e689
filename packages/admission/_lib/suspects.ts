import type { Clock, Millis } from "@jaypass/kernel";
import { LRUCache } from "lru-cache";
import { SUSPECT_MS } from "../constants.ts";
import type { ServerState } from "./server_state.ts";

/** Fingerprints that have run well, remembered so that popular prompts run without limits. */
const PROVEN_FINGERPRINTS = 50_000;
/** Servers on which a fingerprint without a successful run may be at the same time. */
const UNPROVEN_SERVERS = 2;

/** Fingerprints that ran on a server when it died. */
export interface Suspects {
  isSuspect(fingerprint: string): boolean;
  /** Makes a fingerprint a suspect, also on the word of another pool. */
  add(fingerprint: string): void;
  /** Clears a fingerprint after a run that ended well. */
  clear(fingerprint: string): void;
  /**
   * Tells whether a fingerprint may run on a server now.
   *
   * A suspect runs with no other suspect on its server and one run at a time. A fingerprint that has
   * not yet run well is kept to two servers, so that copies of a poison request that arrive together
   * cannot crash more than two.
   */
  mayRun(fingerprint: string, server: ServerState): boolean;
  start(fingerprint: string, serverId: string): void;
  end(fingerprint: string, serverId: string): void;
  list(): string[];
}

/** Creates an empty list of suspects. */
export function createSuspects(clock: Clock): Suspects {
  const untilMs = new Map<string, Millis>();
  const proven = new LRUCache<string, true>({ max: PROVEN_FINGERPRINTS });
  /** Runs by fingerprint and server. */
  const running = new Map<string, Map<string, number>>();
  const isSuspect = (fingerprint: string) => {
    const until = untilMs.get(fingerprint);
    if (until === undefined) return false;
    if (until > clock.nowMs()) return true;
    untilMs.delete(fingerprint);
    return false;
  };
  return {
    isSuspect,
    add(fingerprint) {
      untilMs.set(fingerprint, clock.nowMs() + SUSPECT_MS);
      proven.delete(fingerprint);
    },
    clear(fingerprint) {
      untilMs.delete(fingerprint);
      proven.set(fingerprint, true);
    },
    mayRun(fingerprint, server) {
      const runs = running.get(fingerprint);
      if (!isSuspect(fingerprint)) {
        return runs === undefined || runs.size < UNPROVEN_SERVERS || runs.has(server.id) ||
          proven.has(fingerprint);
      }
      if (runs !== undefined) return false;
      for (const reservation of server.reservations.values()) {
        if (reservation.isSuspect) return false;
      }
      return true;
    },
    start(fingerprint, serverId) {
      const runs = running.get(fingerprint) ?? new Map<string, number>();
      runs.set(serverId, (runs.get(serverId) ?? 0) + 1);
      running.set(fingerprint, runs);
    },
    end(fingerprint, serverId) {
      const runs = running.get(fingerprint);
      if (runs === undefined) return;
      const left = (runs.get(serverId) ?? 0) - 1;
      if (left > 0) runs.set(serverId, left);
      else runs.delete(serverId);
      if (runs.size === 0) running.delete(fingerprint);
    },
    list: () => [...untilMs.keys()].filter(isSuspect),
  };
}
