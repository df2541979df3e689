import { CALL_REASON, CallError } from "../errors.ts";
import { STORE_RETRY_AFTER_MS } from "../constants.ts";
import { RAN } from "../types.ts";
import type { CallRecord } from "../types.ts";
import { askOwner } from "./ask_owner.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { recordKey } from "./record_key.ts";

/** Records an operator's decision about a call in `sending` that its owner no longer works on. */
export async function settleCall(
  call: { workspace: string; service: string; key: string },
  options: { decision: "done" | "not_run"; context: LedgerContext },
): Promise<void> {
  const { decision, context } = options;
  const { records, clock, timing, log } = context;
  const key = recordKey(call);
  const endMs = clock.nowMs() + timing.storeWaitMs;
  const unavailable = () =>
    new CallError(CALL_REASON.STORE_UNAVAILABLE, {
      ran: RAN.UNKNOWN,
      retryAfterMs: STORE_RETRY_AFTER_MS,
    });
  const read = await records.readAtLeast(key, 0, endMs);
  if (read === undefined) throw unavailable();
  const { row } = read;
  if (row?.value.state !== "sending") {
    throw new CallError(CALL_REASON.NOT_UNKNOWN, { ran: RAN.UNKNOWN });
  }
  const answer = await askOwner(row, context, AbortSignal.timeout(timing.storeTimeoutMs));
  if (answer === "in_progress") {
    throw new CallError(CALL_REASON.IN_PROGRESS, { ran: RAN.UNKNOWN });
  }
  const settled: Partial<CallRecord> = decision === "not_run" ? { state: "not_run" } : {
    state: "done",
    doneWallMs: Math.round(clock.wallMs()),
    result: { status: 200, contentType: "text/plain", bodyBase64: "" },
  };
  const next = { ...row.value, ...settled };
  const result = await records.swap(key, { version: row.version, next, endMs });
  if (result.outcome === "conflict") {
    throw new CallError(CALL_REASON.NOT_UNKNOWN, { ran: RAN.UNKNOWN });
  }
  if (result.outcome !== "done") throw unavailable();
  log.info({ call: key, decision }, "Call with unknown outcome settled by an operator");
}
