import { sleep } from "@jaypass/kernel";
import type { Metrics, RandomSource } from "@jaypass/kernel";
import type { Row, TableClient, Transaction } from "@jaypass/store_clients";
import { CONFIG_TABLE, HEAD_KEY, STORE_READ_TIMEOUT_MS } from "../constants.ts";
import type { ConfigHead, StoredChange } from "../types.ts";
import { changeKey } from "./change_key.ts";

/** How storing a change ended. */
export type CommitChangeResult =
  | { outcome: "done" }
  /** Another change has this revision; the head is at least at `revision`. */
  | { outcome: "lost"; revision: number }
  /** The store's head is below the revision in force here: it lost accepted changes. */
  | { outcome: "behind"; revision: number }
  /** Nothing was stored. */
  | { outcome: "not_done"; cause: unknown }
  /** The change may be stored, now or later. */
  | { outcome: "unknown"; cause: unknown };

/** What storing a change needs. */
export interface CommitChangeOptions {
  table: TableClient;
  metrics: Metrics;
  random: RandomSource;
  /** Ends the attempts to settle the outcome. */
  signal: AbortSignal;
  /** Change rows to delete in the same transaction. */
  deletedRevisions?: readonly number[];
}

/** Limit of one commit. */
const COMMIT_TIMEOUT_MS = 2_000;

/** Mean pause between attempts. */
const RETRY_INTERVAL_MS = 100;

/** Refused attempts after which the store counts as down, when nothing can have been stored. */
const MAX_REFUSED_ATTEMPTS = 5;

function transactionOf(change: StoredChange, deleted: readonly number[]): Transaction {
  const { revision, snapshotRevision, snapshotName, oldestRevision } = change;
  const head: ConfigHead = { revision, snapshotRevision, snapshotName, oldestRevision };
  const table = CONFIG_TABLE;
  return {
    // Each change writes the head once, so its version equals its revision.
    conditions: [
      { table, key: HEAD_KEY, version: revision - 1 },
      { table, key: changeKey(revision), version: 0 },
    ],
    writes: [
      { table, key: HEAD_KEY, value: head },
      { table, key: changeKey(revision), value: change },
      ...deleted.map((old) => ({ table, key: changeKey(old), value: null })),
    ],
  };
}

/**
 * Stores a change and settles a lost answer.
 *
 * After an unknown outcome the same transaction is sent again. Its condition on the head lets at
 * most one of the two take effect, and a conflict then tells that the revision is taken, by this
 * change or by another, which the change id in the row decides.
 *
 * @param change the change, at the revision that follows the one in force
 * @param options table service, metrics and signal
 * @returns the outcome; never throws
 */
export async function commitChange(
  change: StoredChange,
  options: CommitChangeOptions,
): Promise<CommitChangeResult> {
  const { table, metrics, random, signal } = options;
  const transaction = transactionOf(change, options.deletedRevisions ?? []);
  let isInDoubt = false;
  let refused = 0;
  let cause: unknown;

  const readOwnRow = async (): Promise<Row<StoredChange> | undefined> => {
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
      if (!isInDoubt) return lost;
      // A stale read may not show the row yet, and the loop then reads it again.
      const row = await readOwnRow();
      if (row !== undefined) {
        return row.value.changeId === change.changeId ? { outcome: "done" } : lost;
      }
    } else {
      cause = result.cause;
      if (result.outcome === "unknown") isInDoubt = true;
      else refused++;
      metrics.increment("configuration.commit_retries", { outcome: result.outcome });
    }
    if (!isInDoubt && refused >= MAX_REFUSED_ATTEMPTS) break;
    await sleep(RETRY_INTERVAL_MS * (0.5 + random()), signal).catch(() => {});
  }
  return { outcome: isInDoubt ? "unknown" : "not_done", cause };
}
