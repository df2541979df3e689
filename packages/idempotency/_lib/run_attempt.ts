import type { Row } from "@jaypass/store_clients";
import { CALL_REASON, CallError } from "../errors.ts";
import { CALLS_EXPIRY_TABLE, STORE_RETRY_AFTER_MS } from "../constants.ts";
import { RAN } from "../types.ts";
import type { CallRecord, CallResult, LedgerCall, PreparedCall } from "../types.ts";
import { expiryKey } from "./expiry_key.ts";
import type { CallLimits, LedgerContext } from "./ledger_context.ts";
import { prepareUntilAborted } from "./prepare_until_aborted.ts";
import { recordResultWithTimeout } from "./record_result_with_timeout.ts";
import { settleInBackground } from "./settle_in_background.ts";

/** An attempt ended with a result, or another attempt owns the record. */
export type AttemptResult =
  | { result: CallResult }
  | { unknown: Row<CallRecord>; cause: unknown }
  | { lostTo: Row<CallRecord> | undefined };

/** Progress that the caller's deadline depends on. */
export interface AttemptProgress {
  /** Set just before the call is sent. */
  isSent: boolean;
}

const storeUnavailable = () =>
  new CallError(CALL_REASON.STORE_UNAVAILABLE, {
    ran: RAN.NOT_RUN,
    retryAfterMs: STORE_RETRY_AFTER_MS,
  });

/** Keeps the reason of an error that has one. */
export function reasonOf(err: unknown, fallback: string): string {
  const { reason } = err as { reason?: unknown };
  return typeof reason === "string" ? reason : fallback;
}

/**
 * Runs one attempt: record `started`, prepare, swap to `sending`, send once, record the outcome.
 *
 * @param call the call
 * @param replaced the record that the attempt replaces, if there is one
 */
export async function runAttempt(
  call: LedgerCall,
  replaced: Row<CallRecord> | undefined,
  options: { key: string; limits: CallLimits; progress: AttemptProgress; context: LedgerContext },
): Promise<AttemptResult> {
  const { key, limits: { endMs, signal }, progress, context } = options;
  const { records, clock, self, timing, active } = context;
  const attempt = context.newAttempt();
  const isExpired = () => signal.aborted || clock.nowMs() >= endMs;

  const sendOnce = async (
    prepared: PreparedCall,
    sending: Row<CallRecord>,
  ): Promise<AttemptResult> => {
    if (isExpired()) {
      prepared.abandon();
      settleInBackground(sending, context);
      throw new CallError(CALL_REASON.DEADLINE_EXCEEDED, { ran: RAN.NOT_RUN });
    }
    progress.isSent = true;
    const graceMs = Math.ceil(endMs - clock.nowMs() + timing.sendGraceMs);
    let result: CallResult;
    try {
      result = await prepared.send(sending.value.fencing, AbortSignal.timeout(graceMs));
    } catch (err) {
      if ((err as { ran?: unknown }).ran !== RAN.NOT_RUN) return { unknown: sending, cause: err };
      settleInBackground(sending, context);
      throw new CallError(reasonOf(err, CALL_REASON.NOT_SENT), { ran: RAN.NOT_RUN, cause: err });
    }
    await recordResultWithTimeout(sending, result, { endMs, context });
    return { result };
  };

  const run = async (): Promise<AttemptResult> => {
    const started = await records.swap(key, {
      version: replaced?.version ?? 0,
      next: {
        state: "started",
        attempt,
        owner: self,
        fencing: (replaced?.value.fencing ?? 0) + 1,
        bodyHash: call.bodyHash,
        operation: call.operation,
        requestId: call.requestId,
      },
      extraWrites: replaced
        ? []
        : [{ table: CALLS_EXPIRY_TABLE, key: expiryKey(key, clock), value: {} }],
      endMs: Math.min(endMs, clock.nowMs() + timing.storeWaitMs),
    });
    if (started.outcome === "conflict") return { lostTo: started.row };
    // A late insert is harmless: a record in `started` never ran and may be replaced.
    if (started.outcome !== "done") throw storeUnavailable();

    let prepared: PreparedCall;
    try {
      prepared = await prepareUntilAborted(call, signal);
    } catch (err) {
      settleInBackground(started.row, context);
      const fallback = isExpired() ? CALL_REASON.DEADLINE_EXCEEDED : CALL_REASON.NOT_SENT;
      throw new CallError(reasonOf(err, fallback), { ran: RAN.NOT_RUN, cause: err });
    }
    const sending = await records.swap(key, {
      version: started.row.version,
      next: { ...started.row.value, state: "sending" },
      endMs: Math.min(endMs, clock.nowMs() + timing.storeWaitMs),
    });
    if (sending.outcome === "done") return await sendOnce(prepared, sending.row);
    prepared.abandon();
    if (sending.outcome === "conflict") return { lostTo: sending.row };
    settleInBackground(started.row, context);
    throw storeUnavailable();
  };

  const leave = active.track(attempt);
  try {
    return await run();
  } finally {
    leave();
  }
}
