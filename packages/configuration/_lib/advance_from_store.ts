import type { Logger, Metrics } from "@jaypass/kernel";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import {
  CHANGES_PER_READ,
  CONFIG_TABLE,
  OBJECT_STORE_TIMEOUT_MS,
  SNAPSHOT_LOAD_THRESHOLD_REVISIONS,
  STORE_READ_TIMEOUT_MS,
} from "../constants.ts";
import type { ConfigHead } from "../types.ts";
import { changeKey } from "./change_key.ts";
import type { DocumentReplica } from "./create_document_replica.ts";
import { decodeSnapshot } from "./snapshot_codec.ts";
import { storedChangeSchema } from "./stored_schemas.ts";

/** Where changes and snapshots are read. */
export interface AdvanceFromStoreOptions {
  table: TableClient;
  objects: ObjectClient;
  metrics: Metrics;
  log: Logger;
  signal: AbortSignal;
}

function isSnapshotNeeded(head: ConfigHead, revision: number): boolean {
  if (head.snapshotRevision <= revision) return false;
  // Revision 1 may exist only as a snapshot, so a host without a document always starts with one.
  return revision === 0 || revision + 1 < head.oldestRevision ||
    head.revision - revision > SNAPSHOT_LOAD_THRESHOLD_REVISIONS;
}

async function loadSnapshot(
  holder: DocumentReplica,
  name: string,
  options: AdvanceFromStoreOptions,
) {
  const { objects, metrics, signal } = options;
  const bytes = await objects.get(name, { timeoutMs: OBJECT_STORE_TIMEOUT_MS, signal });
  metrics.increment("configuration.snapshot_reads");
  if (bytes === undefined) return;
  metrics.increment("configuration.snapshot_bytes", {}, bytes.length);
  holder.load(await decodeSnapshot(bytes));
}

/**
 * Reads the missing changes from the store and applies them.
 *
 * Rows may be missing from a stale read; then the host keeps what it has reached.
 *
 * @param holder the document in force
 * @param head what the head row showed
 * @param options store, metrics and signal
 * @returns whether the head's revision is in force
 * @throws {StoreError} when the store does not answer
 */
export async function advanceFromStore(
  holder: DocumentReplica,
  head: ConfigHead,
  options: AdvanceFromStoreOptions,
): Promise<boolean> {
  const { table, metrics, log, signal } = options;
  const revision = () => holder.current().revision;
  if (isSnapshotNeeded(head, revision())) {
    try {
      await loadSnapshot(holder, head.snapshotName, options);
    } catch (err) {
      // The changes may still be readable, and peers hold the document.
      log.warn({ err, name: head.snapshotName }, "Snapshot cannot be loaded");
    }
  }
  while (revision() < head.revision) {
    const first = revision() + 1;
    const count = Math.min(CHANGES_PER_READ, head.revision - revision());
    const keys = Array.from({ length: count }, (_, n) => changeKey(first + n));
    const rows = await table.readMany(CONFIG_TABLE, keys, {
      timeoutMs: STORE_READ_TIMEOUT_MS,
      signal,
    });
    metrics.increment("configuration.change_reads");
    rows.sort((a, b) => (a.key < b.key ? -1 : 1));
    for (const row of rows) {
      const text = JSON.stringify(row);
      metrics.increment("configuration.change_bytes", {}, Buffer.byteLength(text));
      const change = storedChangeSchema.safeParse(row.value);
      if (change.success) holder.apply(change.data);
      else log.error({ key: row.key, err: change.error }, "Stored change has an unknown form");
    }
    if (revision() < first) return false;
  }
  return true;
}
