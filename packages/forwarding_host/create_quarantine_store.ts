import type { Logger, Millis } from "@jaypass/kernel";
import { decodeRevision, QUARANTINES_TABLE, STORE_TIMEOUT_MS } from "@jaypass/fleet";
import type { Row, RowStore } from "@jaypass/fleet";
import { getQuarantineId } from "@jaypass/placement";
import type { Quarantine, QuarantineList } from "@jaypass/placement";
import { parseQuarantine } from "./parse_quarantine.ts";

/** Options of {@linkcode createQuarantineStore}. */
export interface QuarantineStoreOptions {
  /** The store. */
  store: Pick<RowStore, "readTable" | "writeRow" | "removeRow">;
  /** The quarantines that this host knows. */
  quarantines: QuarantineList;
  /** Logs rows that cannot be used and failed calls. */
  log: Logger;
}

/** Keeps quarantines in the store, so that they outlast the hosts. */
export interface QuarantineStore {
  /**
   * Reads the stored quarantines, then writes or removes those that have changed. A quarantine whose
   * row was removed is lifted, so that an operator can do so.
   *
   * @returns true on success; failed calls are logged
   */
  synchronize(signal?: AbortSignal): Promise<boolean>;
}

/**
 * Creates the synchronization of a host's quarantines with the store. Each has a row of its own, which
 * changes with its trials only.
 *
 * @param options store and list
 * @returns the synchronization
 *
 * @example
 * await createQuarantineStore({ store, quarantines, log }).synchronize();
 */
export function createQuarantineStore(options: QuarantineStoreOptions): QuarantineStore {
  const { store, quarantines, log } = options;
  /** Ids of the rows that were seen or written; a missing one of them was removed by someone else. */
  const storedIds = new Set<string>();
  const reportedKeys = new Set<string>();
  let lastEra: number | undefined;

  const parseRow = (row: Row): Quarantine[] => {
    try {
      return [parseQuarantine(JSON.parse(row.value ?? ""))];
    } catch (err) {
      if (!reportedKeys.has(row.key)) {
        reportedKeys.add(row.key);
        log.warn({ row: row.key, err: String(err) }, "Row of a quarantine cannot be used");
      }
      return [];
    }
  };

  const readRows = async (callOptions: { timeoutMs: Millis; signal?: AbortSignal }) => {
    const { revision, rows } = await store.readTable(QUARANTINES_TABLE, callOptions);
    const { era } = decodeRevision(revision);
    // A store that has come back from a copy lacks the latest rows, which nobody has removed.
    if (era !== lastEra) storedIds.clear();
    lastEra = era;
    const stored = new Map(
      rows.flatMap((row) =>
        parseRow(row).map((quarantine) => [row.key, { row, quarantine }] as const)
      ),
    );
    for (const quarantine of quarantines.list()) {
      const id = getQuarantineId(quarantine);
      if (!storedIds.has(id) || rows.some(({ key }) => key === id)) continue;
      storedIds.delete(id);
      quarantines.merge({ ...quarantine, isReleased: true });
    }
    for (const { quarantine } of stored.values()) quarantines.merge(quarantine);
    for (const id of stored.keys()) storedIds.add(id);
    return stored;
  };

  return {
    async synchronize(signal) {
      const callOptions = { timeoutMs: STORE_TIMEOUT_MS, signal };
      try {
        const stored = await readRows(callOptions);
        for (const quarantine of quarantines.list()) {
          const id = getQuarantineId(quarantine);
          const known = stored.get(id);
          if (quarantine.isReleased) {
            if (known === undefined) continue;
            storedIds.delete(id);
            await store.removeRow(QUARANTINES_TABLE, id, known.row.version, callOptions);
          } else if (known?.quarantine.trialCount !== quarantine.trialCount) {
            await store.writeRow(QUARANTINES_TABLE, id, JSON.stringify(quarantine), callOptions);
            storedIds.add(id);
          }
        }
        return true;
      } catch (err) {
        if (signal?.aborted) throw err;
        log.warn({ err: String(err) }, "Synchronizing quarantines with the store failed");
        return false;
      }
    },
  };
}
