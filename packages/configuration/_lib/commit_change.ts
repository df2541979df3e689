import { sleep } from "@jaypass/kernel";
import type { Metrics, RandomSource } from "@jaypass/kernel";
import type { Row, TableClient, Transaction } from "@jaypass/store_clients";
import { CONFIG_TABLE, HEAD_KEY, STORE_READ_TIMEOUT_MS } from "../constants.ts";
import type { ConfigHead, StoredChange } from "../types.ts";
import { changeKey } from "./change_key.ts";

/** Result of {@linkcode commitChange}. */
export type CommitChangeResult =
  | { outcome: "done" }
  /** Another change was stored as this revision; the head is at least at `revision`. */
  | { outcome: "lost"; revision: number }
  /** The head of the store is below the host's revision: the store lost accepted changes. */
  | { outcome: "behind"; revision: number }
  /** Nothing was stored. */
  | { outcome: "not_done"; cause: unknown }
  /** The change may have been stored or may still be stored later. */
  | { outcome: "unknown"; cause: unknown };

/** Options of {@linkcode commitChange}. */
export interface CommitChangeOptions {
  table: TableClient;
  metrics: Metrics;
  random: RandomSource;
  /** Ends the attempts to store the change and to find out the outcome. */
  signal: AbortSignal;
  /** Revisions whose change rows are deleted in the same transaction. */
  deletedRevisions?: readonly number[];
}

/** Timeout of one commit. */
const COMMIT_TIMEOUT_MS = 2_000;

/** Mean pause between attempts. */
const RETRY_INTERVAL_MS = 100;

/**
 * Number of failed attempts after which the store counts as down.
 *
 * It applies only while every attempt is known to have stored nothing.
 */
const MAX_FAILED_ATTEMPTS = 5;

function buildTransaction(change: StoredChange, deletedRevisions: readonly number[]): Transaction {
  const { revision, snapshotRevision, snapshotName, oldestRevision } = change;
  const head: ConfigHead = { revision, snapshotRevision, snapshotName, oldestRevision };
  const table = CONFIG_TABLE;
  return {
    // Each change writes the head row once, so its version equals the revision.
    conditions: [
      { table, key: HEAD_KEY, version: revision - 1 },
      { table, key: changeKey(revision), version: 0 },
    ],
    writes: [
      { table, key: HEAD_KEY, value: head },
      { table, key: changeKey(revision), value: change },
      ...deletedRevisions.map((old) => ({ table, key: changeKey(old), value: null })),
    ],
  };
}

/**
 * Stores a change, and finds out whether it was stored when the answer of the store is lost.
 *
 * After an unknown outcome the same transaction is sent again. Its condition on the head row lets
 * at most one of the attempts take effect. A conflict then means that the revision is already
 * stored; the change id in its row shows whether by this change or by another one.
 *
 * @param change the change, with the revision that follows the current one
 * @param options table client, metrics, randomness, signal and revisions to delete
 * @returns the outcome; never throws
 */
export async function commitChange(
  change: StoredChange,
  options: CommitChangeOptions,
): Promise<CommitChangeResult> {
  const { table, metrics, random, signal } = options;
  const transaction = buildTransaction(change, options.deletedRevisions ?? []);
  let isOutcomeUnknown = false;
  let failedAttempts = 0;
  let cause: unknown;

  const readChangeRow = async (): Promise<Row<StoredChange> | undefined> => {
    try {
      const call = { timeoutMs: STORE_READ_TIMEOUT_MS, signal };
      return await table.read<StoredChange>(CONFIG_TABLE, changeKey(change.revision), call);
    } catch (err) {
      cause = err;
      return undefined;
    }
  };

  while (!signal.aborted) {
    const result = await table.commit(transaction, { timeoutMs: COMMIT_TIMEOUT_MS, signal });
    if (result.outcome === "done") return { outcome: "done" };
    if (result.outcome === "conflict") {
      const headRevision = result.key === HEAD_KEY ? result.version : change.revision;
      if (headRevision < change.revision - 1) return { outcome: "behind", revision: headRevision };
      const lost = { outcome: "lost", revision: headRevision } as const;
      if (!isOutcomeUnknown) return lost;
      // A stale read may lack the row; the next attempt then reads it again.
      const row = await readChangeRow();
      if (row !== undefined) {
        return row.value.changeId === change.changeId ? { outcome: "done" } : lost;
      }
    } else {
      cause = result.cause;
      if (result.outcome === "unknown") isOutcomeUnknown = true;
      else failedAttempts++;
      metrics.increment("configuration.commit_retries", { outcome: result.outcome });
    }
    if (!isOutcomeUnknown && failedAttempts >= MAX_FAILED_ATTEMPTS) break;
    await sleep(RETRY_INTERVAL_MS * (0.5 + random()), signal).catch(() => {});
  }
  return { outcome: isOutcomeUnknown ? "unknown" : "not_done", cause };
}
