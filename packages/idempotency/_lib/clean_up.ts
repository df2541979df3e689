import type { Row, Write } from "@jaypass/store_clients";
import {
  CALLS_EXPIRY_TABLE,
  CALLS_TABLE,
  CLEAN_UP_BATCH_SIZE,
  RESULT_RETENTION_MS,
} from "../constants.ts";
import type { CallRecord } from "../types.ts";
import { expiryKey, isExpiryDue, recordOfExpiryKey } from "./expiry_key.ts";
import type { LedgerContext } from "./ledger_context.ts";

/**
 * Deletes one batch of old records with one listing, one read and one transaction.
 *
 * Records in `sending` stay for the operators, and a record that ended later than its index row
 * expects is looked at again another day.
 *
 * @returns the number of records deleted, and whether more may be due
 */
export async function cleanUp(
  context: Pick<LedgerContext, "table" | "clock" | "timing" | "results" | "metrics">,
): Promise<{ deleted: number; isMoreDue: boolean }> {
  const { table, clock, timing, results, metrics } = context;
  const callOptions = { timeoutMs: timing.storeTimeoutMs };
  const listed = await table.list(CALLS_EXPIRY_TABLE, {
    ...callOptions,
    limit: CLEAN_UP_BATCH_SIZE,
  });
  const due = listed.filter(({ key }) => isExpiryDue(key, clock));
  if (due.length === 0) return { deleted: 0, isMoreDue: false };
  const keys = due.map(({ key }) => recordOfExpiryKey(key));
  const records = await table.readMany<CallRecord>(CALLS_TABLE, keys, callOptions);
  const isKept = ({ value: { state, doneWallMs = 0 } }: Row<CallRecord>) =>
    state === "sending" || (state === "done" && clock.wallMs() < doneWallMs + RESULT_RETENTION_MS);
  const old = records.filter((row) => !isKept(row));

  // Objects go first: if the transaction fails, the record is found again by its index row.
  await Promise.all(old.map(({ value }) => value.result && results.remove(value.result)));
  const writes: Write[] = [
    ...due.map(({ key }) => ({ table: CALLS_EXPIRY_TABLE, key, value: null })),
    ...old.map(({ key }) => ({ table: CALLS_TABLE, key, value: null })),
    ...records.filter(isKept).map(({ key }) => ({
      table: CALLS_EXPIRY_TABLE,
      key: expiryKey(key, clock),
      value: {},
    })),
  ];
  const result = await table.commit({
    conditions: records.map(({ key, version }) => ({ table: CALLS_TABLE, key, version })),
    writes,
  }, callOptions);
  metrics.increment("calls.clean_up", { outcome: result.outcome });
  const isDone = result.outcome === "done";
  return {
    deleted: isDone ? old.length : 0,
    isMoreDue: isDone && due.length === CLEAN_UP_BATCH_SIZE,
  };
}
