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

/** Options of {@linkcode maintainHistory}. */
export interface MaintainHistoryOptions {
  table: TableClient;
  objects: ObjectClient;
  log: Logger;
  signal: AbortSignal;
}

/** Head row and deletions that are stored together with the next change. */
export interface HistoryUpdate {
  head: ConfigHead;
  /** Revisions whose change rows are to be deleted in the same transaction. */
  deletedRevisions: number[];
  /** Deletes the snapshots that no remaining change refers to; to be called after the commit. */
  deleteUnusedSnapshots(): Promise<void>;
}

/** Largest number of rows deleted per change; above 1, so that a backlog shrinks. */
const MAX_DELETIONS_PER_CHANGE = 2;

function isSnapshotDue({ revision, snapshotRevision }: ConfigSnapshot): boolean {
  const overdue = revision - snapshotRevision - SNAPSHOT_INTERVAL_REVISIONS;
  return overdue >= 0 && overdue % SNAPSHOT_RETRY_INTERVAL_REVISIONS === 0;
}

/**
 * Prepares the head row for the next change: stores a snapshot of the current document when one is
 * due, and selects old change rows to delete.
 *
 * The snapshot is stored before the head row refers to it, so that the reference is always valid.
 *
 * @param current the current document
 * @param options store clients, logger and signal
 */
export async function maintainHistory(
  current: Readonly<ConfigSnapshot>,
  options: MaintainHistoryOptions,
): Promise<HistoryUpdate> {
  const { table, objects, log, signal } = options;
  const call = { timeoutMs: OBJECT_STORE_TIMEOUT_MS, signal };
  const { document: _document, changeId: _changeId, ...currentHead } = current;
  const head: ConfigHead = { ...currentHead, revision: current.revision + 1 };
  if (isSnapshotDue(current)) {
    const name = `config/snapshots/${current.revision}-${current.changeId}`;
    try {
      const snapshot = { ...current, snapshotRevision: current.revision, snapshotName: name };
      await objects.put(name, await encodeSnapshot(snapshot), call);
      head.snapshotRevision = current.revision;
      head.snapshotName = name;
    } catch (err) {
      log.warn({ err, name }, "Could not store configuration snapshot; a later change retries");
    }
  }

  const deletedRevisions: number[] = [];
  while (
    deletedRevisions.length < MAX_DELETIONS_PER_CHANGE &&
    head.oldestRevision <= Math.min(head.revision - HISTORY_MAX_REVISIONS, head.snapshotRevision)
  ) {
    deletedRevisions.push(head.oldestRevision++);
  }

  let unusedSnapshots: string[] = [];
  if (deletedRevisions.length > 0) {
    try {
      const rows = await readChanges(deletedRevisions[0]!, head.oldestRevision, { table, signal });
      const kept = rows.pop()?.snapshotName;
      unusedSnapshots = [...new Set(rows.map((row) => row.snapshotName))]
        .filter((name) => name !== "" && name !== kept && kept !== undefined);
    } catch (err) {
      log.debug({ err }, "Could not look up unused configuration snapshots; keeping them");
    }
  }
  const deleteUnusedSnapshots = async () => {
    for (const name of unusedSnapshots) {
      await objects.delete(name, call).catch((err) =>
        log.debug({ err, name }, "Could not delete unused configuration snapshot")
      );
    }
  };
  return { head, deletedRevisions, deleteUnusedSnapshots };
}
