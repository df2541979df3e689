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
 * Deletes one batch of expired records with one listing, one read and one transaction.
 *
 * Records in `sending` are kept, because an operator has to settle them. These, and records that
 * became `done` later than their index row assumed, get a new index row with a later hour.
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
  const mustKeep = ({ value: { state, doneWallMs = 0 } }: Row<CallRecord>) =>
    state === "sending" || (state === "done" && clock.wallMs() < doneWallMs + RESULT_RETENTION_MS);
  const expired = records.filter((row) => !mustKeep(row));

  // Objects are deleted first: if the transaction fails, the index row still leads to the record,
  // and the next clean-up deletes both.
  await Promise.all(expired.map(({ value }) => value.result && results.remove(value.result)));
  const writes: Write[] = [
    ...due.map(({ key }) => ({ table: CALLS_EXPIRY_TABLE, key, value: null })),
    ...expired.map(({ key }) => ({ table: CALLS_TABLE, key, value: null })),
    ...records.filter(mustKeep).map(({ key }) => ({
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
    deleted: isDone ? expired.length : 0,
    isMoreDue: isDone && due.length === CLEAN_UP_BATCH_SIZE,
  };
}
