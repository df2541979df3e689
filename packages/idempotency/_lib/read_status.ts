import type { Row } from "@jaypass/store_clients";
import { CALLS_TABLE } from "../constants.ts";
import type { CallRecord, CallStatus } from "../types.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { parseRecordKey, recordKey } from "./record_key.ts";

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
  const row = await table.read<CallRecord>(CALLS_TABLE, recordKey(call), callOptions);
  if (row === undefined) return { ...call, state: "absent" };
  const { result } = row.value;
  return { ...toStatus(row), ...result && { result: await results.load(result) } };
}
