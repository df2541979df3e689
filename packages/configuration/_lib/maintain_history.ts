import type { Logger } from "@jaypass/kernel";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import {
  HISTORY_MAX_REVISIONS,
  OBJECT_STORE_TIMEOUT_MS,
  SNAPSHOT_INTERVAL_REVISIONS,
  SNAPSHOT_RETRY_INTERVAL_REVISIONS,
} from "../constants.ts";
import type { ConfigHead, ConfigSnapshot } from "../types.ts";
import { readChanges } from "./read_changes.ts";
import { encodeSnapshot } from "./snapshot_codec.ts";

/** What history maintenance needs. */
export interface MaintainHistoryOptions {
  table: TableClient;
  objects: ObjectClient;
  log: Logger;
  signal: AbortSignal;
}

/** What the next change writes besides its entries. */
export interface HistoryUpdate {
  head: ConfigHead;
  /** Change rows to delete in the same transaction. */
  deletedRevisions: number[];
  /** Deletes snapshots that no kept change needs; called after the change is stored. */
  deleteUnusedSnapshots(): Promise<void>;
}

/** Rows deleted with one change, more than are added, so that a backlog shrinks. */
const DELETED_PER_CHANGE = 2;

function isSnapshotDue({ revision, snapshotRevision }: ConfigSnapshot): boolean {
  const late = revision - snapshotRevision - SNAPSHOT_INTERVAL_REVISIONS;
  return late >= 0 && late % SNAPSHOT_RETRY_INTERVAL_REVISIONS === 0;
}

/**
 * Prepares the head that the next change writes: stores a snapshot of the document in force when
 * one is due, and picks old change rows to delete.
 *
 * The snapshot is stored before the head names it, so a named snapshot always exists.
 *
 * @param current the document in force
 * @param options store and logger
 */
export async function maintainHistory(
  current: Readonly<ConfigSnapshot>,
  options: MaintainHistoryOptions,
): Promise<HistoryUpdate> {
  const { table, objects, log, signal } = options;
  const call = { timeoutMs: OBJECT_STORE_TIMEOUT_MS, signal };
  const { document: _document, changeId: _changeId, ...before } = current;
  const head: ConfigHead = { ...before, revision: current.revision + 1 };
  if (isSnapshotDue(current)) {
    const name = `config/snapshots/${current.revision}-${current.changeId}`;
    try {
      const own = { ...current, snapshotRevision: current.revision, snapshotName: name };
      await objects.put(name, await encodeSnapshot(own), call);
      head.snapshotRevision = current.revision;
      head.snapshotName = name;
    } catch (err) {
      log.warn({ err, name }, "Snapshot is not stored; a later change tries again");
    }
  }

  const deletedRevisions: number[] = [];
  while (
    deletedRevisions.length < DELETED_PER_CHANGE &&
    head.oldestRevision <= Math.min(head.revision - HISTORY_MAX_REVISIONS, head.snapshotRevision)
  ) {
    deletedRevisions.push(head.oldestRevision++);
  }

  let unused: string[] = [];
  if (deletedRevisions.length > 0) {
    try {
      const rows = await readChanges(deletedRevisions[0]!, head.oldestRevision, { table, signal });
      const kept = rows.pop()?.snapshotName;
      unused = [...new Set(rows.map((row) => row.snapshotName))]
        .filter((name) => name !== "" && name !== kept && kept !== undefined);
    } catch (err) {
      log.debug({ err }, "Old snapshots are not looked up");
    }
  }
  const cleanUp = async () => {
    for (const name of unused) {
      await objects.delete(name, call).catch((err) => log.debug({ err, name }, "Snapshot is kept"));
    }
  };
  return { head, deletedRevisions, deleteUnusedSnapshots: cleanUp };
}
