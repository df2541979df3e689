import { sleep } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import { CALLS_TABLE } from "../constants.ts";
import { MissingResultError } from "../errors.ts";
import type { CallRecord, CallStatus } from "../types.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { parseRecordKey, recordKey } from "./record_key.ts";

/** Reads of a record whose result is missing before that counts as an error. */
const MAX_STATUS_READS = 5;

/** Milliseconds between two such reads; the clean-up's transaction takes a few. */
const STATUS_READ_PAUSE_MS = 50;

/** The state of a record without its result. */
export function toStatus({ key, value }: Row<CallRecord>): CallStatus {
  const { state, attempt, owner } = value;
  return { ...parseRecordKey(key), state, attempt, host: owner.host };
}

/** Reads the state of a key with its result. */
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
      // The clean-up deletes a result right before its record, so the record may be gone by now.
      if (!(err instanceof MissingResultError) || read === MAX_STATUS_READS) throw err;
      await sleep(STATUS_READ_PAUSE_MS);
    }
  }
}
