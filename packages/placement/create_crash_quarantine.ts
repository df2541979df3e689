import type { Clock, Millis } from "@jaypass/kernel";
import { QUARANTINE_CRASH_COUNT, QUARANTINE_MAX_ENTRIES, QUARANTINE_MS } from "./constants.ts";

/** Remembers requests whose servers broke off again and again. */
export interface CrashQuarantine {
  /** Counts an exchange that broke off at a server. */
  countCrash(fingerprint: string, serverId: string): void;
  /** Clears a fingerprint, since a server answered it. */
  clear(fingerprint: string): void;
  /** Reports whether the request may not be sent any more. */
  isQuarantined(fingerprint: string): boolean;
}

interface Entry {
  serverIds: Set<string>;
  lastMs: Millis;
}

/**
 * Creates the quarantine of requests that crash the servers that run them.
 *
 * The load it answers: one request that its caller repeats, while servers crash for other reasons.
 * Servers are told apart by incarnation, so an innocent request is counted once for each crash and
 * cleared by its first answer.
 *
 * @param clock monotonic time source
 * @returns the quarantine, bounded in size
 *
 * @example
 * const quarantine = createCrashQuarantine(clock);
 * if (quarantine.isQuarantined(fingerprint)) refuse();
 */
export function createCrashQuarantine(clock: Clock): CrashQuarantine {
  const entries = new Map<string, Entry>();
  const findFresh = (fingerprint: string) => {
    const entry = entries.get(fingerprint);
    if (entry === undefined) return undefined;
    if (clock.nowMs() - entry.lastMs <= QUARANTINE_MS) return entry;
    entries.delete(fingerprint);
    return undefined;
  };
  return {
    countCrash(fingerprint, serverId) {
      const entry = findFresh(fingerprint) ?? { serverIds: new Set<string>(), lastMs: 0 };
      entry.serverIds.add(serverId);
      entry.lastMs = clock.nowMs();
      entries.delete(fingerprint);
      entries.set(fingerprint, entry);
      const oldest = entries.keys().next();
      if (entries.size > QUARANTINE_MAX_ENTRIES && !oldest.done) entries.delete(oldest.value);
    },
    clear: (fingerprint) => void entries.delete(fingerprint),
    isQuarantined: (fingerprint) =>
      (findFresh(fingerprint)?.serverIds.size ?? 0) >= QUARANTINE_CRASH_COUNT,
  };
}
