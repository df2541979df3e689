import { sleep } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import { CALLS_TABLE } from "../constants.ts";
import { MissingResultError } from "../errors.ts";
import type { CallRecord, CallStatus } from "../types.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { parseRecordKey, recordKey } from "./record_key.ts";

/** Number of reads of a record with a missing result until that counts as an error. */
const MAX_STATUS_READS = 5;

/** Pause between two such reads; the transaction of the clean-up takes a few milliseconds. */
const STATUS_READ_PAUSE_MS = 50;

/** Converts a record to its status, without the result. */
export function toStatus({ key, value }: Row<CallRecord>): CallStatus {
  const { state, attempt, owner } = value;
  return { ...parseRecordKey(key), state, attempt, host: owner.host };
}

/** Reads the status of a key, with the result if there is one. */
export async function readStatus(
  call: { workspace: string; service: string; key: string },
  { table, results, timing }: LedgerContext,
): Promise<CallStatus> {
  const callOptions = { timeoutMs: timing.storeTimeoutMs };
  for (let read = 1;; read++) {
    const row = await table.read<CallRecord>(CALLS_TABLE, recordKey(call), callOptions);
    if (row === undefined) return { ...call, state: "absent" };
    const { result } = row.value;
    try {
      return { ...toStatus(row), ...result && { result: await results.load(result) } };
    } catch (err) {
      // The clean-up deletes an object shortly before its record, so the next read may find
      // neither.
      if (!(err instanceof MissingResultError) || read === MAX_STATUS_READS) throw err;
      await sleep(STATUS_READ_PAUSE_MS);
    }
  }
}
