import type { Row } from "@jaypass/store_clients";
import { CALL_REASON, CallError } from "../errors.ts";
import { RAN } from "../types.ts";
import type { CallRecord, CallResult, LedgerCall } from "../types.ts";
import type { CallLimits, LedgerContext } from "./ledger_context.ts";
import { recordResultWithTimeout } from "./record_result_with_timeout.ts";

/** A resolution found the result, or proved that the call never ran and never will. */
export type Resolution = { result: CallResult } | { changed: Row<CallRecord> | undefined };

/**
 * Settles a record in `sending` whose owner sends nothing any more, as far as the service allows.
 *
 * @throws {CallError} with `outcome_unknown` when the service cannot tell
 */
export async function resolveUnknownCall(
  call: LedgerCall,
  row: Row<CallRecord>,
  options: { limits: CallLimits; context: LedgerContext; cause?: unknown },
): Promise<Resolution> {
  const { limits: { endMs, signal }, context } = options;
  const { records, self, active, metrics } = context;
  const outcomeUnknown = (cause: unknown = options.cause) => {
    metrics.increment("calls.outcome_unknown", { service: call.service });
    return new CallError(CALL_REASON.OUTCOME_UNKNOWN, { ran: RAN.UNKNOWN, cause });
  };
  const resolve = async (fencing: number) => {
    try {
      return await call.resolve!(fencing, signal);
    } catch (err) {
      throw outcomeUnknown(err);
    }
  };
  if (call.resolution === "none" || call.resolve === undefined) throw outcomeUnknown();

  if (call.resolution === "lookup") {
    const result = await resolve(row.value.fencing);
    // A negative answer proves nothing: the call may still be on its way.
    if (result === undefined) throw outcomeUnknown();
    await recordResultWithTimeout(row, result, { endMs, context });
    return { result };
  }

  // The claim raises the fencing number in the record first, so that two hosts that resolve at the
  // same time use different numbers.
  const attempt = context.newAttempt();
  const leave = active.track(attempt);
  try {
    const claim = { ...row.value, attempt, owner: self, fencing: row.value.fencing + 1 };
    const claimed = await records.swap(row.key, { version: row.version, next: claim, endMs });
    if (claimed.outcome === "conflict") return { changed: claimed.row };
    if (claimed.outcome !== "done") throw outcomeUnknown();
    const result = await resolve(claim.fencing);
    if (result !== undefined) {
      await recordResultWithTimeout(claimed.row, result, { endMs, context });
      return { result };
    }
    const ended = await records.swap(row.key, {
      version: claimed.row.version,
      next: { ...claim, state: "not_run" },
      endMs,
    });
    if (ended.outcome === "done" || ended.outcome === "conflict") return { changed: ended.row };
    throw outcomeUnknown();
  } finally {
    leave();
  }
}
