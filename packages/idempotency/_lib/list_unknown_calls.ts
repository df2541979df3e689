import { CALLS_SENDING_TABLE, CALLS_TABLE } from "../constants.ts";
import type { CallRecord, CallStatus } from "../types.ts";
import { askOwner } from "./ask_owner.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { toStatus } from "./read_status.ts";

/** Number of index rows read by one request. */
const PAGE_SIZE = 100;

/**
 * Lists records in `sending` whose owner has ended or no longer works on the call.
 *
 * Calls of an owner that cannot be reached are omitted, because it may be paused and still send
 * them.
 */
export async function listUnknownCalls(
  limit: number,
  context: LedgerContext,
): Promise<CallStatus[]> {
  const { table, timing } = context;
  const callOptions = { timeoutMs: timing.storeTimeoutMs };
  const signal = AbortSignal.timeout(timing.storeWaitMs);
  const found: CallStatus[] = [];
  let after: string | undefined;
  while (found.length < limit) {
    const index = await table.list(CALLS_SENDING_TABLE, {
      ...callOptions,
      limit: PAGE_SIZE,
      ...after !== undefined && { after },
    });
    const rows = await table.readMany<CallRecord>(
      CALLS_TABLE,
      index.map(({ key }) => key),
      callOptions,
    );
    for (const row of rows) {
      if (row.value.state !== "sending") continue;
      const answer = await askOwner(row, context, signal);
      if (answer === "finished" || answer === "newer_incarnation") found.push(toStatus(row));
    }
    if (index.length < PAGE_SIZE) break;
    after = index.at(-1)!.key;
  }
  return found.slice(0, limit);
}
