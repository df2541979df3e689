import type { Clock, Millis } from "@jaypass/kernel";
import { QUARANTINE_CRASH_COUNT, QUARANTINE_MAX_ENTRIES, QUARANTINE_MS } from "./constants.ts";

/** Tracks requests whose servers crash repeatedly. */
export interface CrashQuarantine {
  /** Counts a request whose server crashed before it answered. */
  countCrash(fingerprint: string, serverId: string): void;
  /** Resets the crash count of a fingerprint after a server answered it. */
  clear(fingerprint: string): void;
  /** Reports whether requests with the fingerprint must not be sent. */
  isQuarantined(fingerprint: string): boolean;
}

interface Entry {
  serverIds: Set<string>;
  lastMs: Millis;
}

/**
 * Creates the quarantine of requests that crash their servers.
 *
 * Meant for a crashing request that its caller repeats, while servers also crash for other reasons.
 * Crashes are counted by server incarnation, so a harmless request is counted once for each crash
 * and cleared by its first answer.
 *
 * @param clock monotonic time source
 * @returns an empty quarantine of bounded size
 *
 * @example
 * const quarantine = createCrashQuarantine(clock);
 * if (quarantine.isQuarantined(fingerprint)) refuse();
 */
export function createCrashQuarantine(clock: Clock): CrashQuarantine {
  const entries = new Map<string, Entry>();
  const findCurrent = (fingerprint: string) => {
    const entry = entries.get(fingerprint);
    if (entry === undefined) return undefined;
    if (clock.nowMs() - entry.lastMs <= QUARANTINE_MS) return entry;
    entries.delete(fingerprint);
    return undefined;
  };
  return {
    countCrash(fingerprint, serverId) {
      const entry = findCurrent(fingerprint) ?? { serverIds: new Set<string>(), lastMs: 0 };
      entry.serverIds.add(serverId);
      entry.lastMs = clock.nowMs();
      entries.delete(fingerprint);
      entries.set(fingerprint, entry);
      const oldest = entries.keys().next();
      if (entries.size > QUARANTINE_MAX_ENTRIES && !oldest.done) entries.delete(oldest.value);
    },
    clear: (fingerprint) => void entries.delete(fingerprint),
    isQuarantined: (fingerprint) =>
      (findCurrent(fingerprint)?.serverIds.size ?? 0) >= QUARANTINE_CRASH_COUNT,
  };
}
