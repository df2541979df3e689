/**
 * Constants of the call ledger (section 4.4 of the design).
 *
 * @module
 */
import type { LedgerTiming } from "./types.ts";

/** Table of the records, keyed by workspace, service and idempotency key. */
export const CALLS_TABLE = "calls";

/** Table with one row for each record in `sending`, by which unknown calls are found cheaply. */
export const CALLS_SENDING_TABLE = "calls_sending";

/** Table with one row for each record, keyed by the hour in which it may be deleted. */
export const CALLS_EXPIRY_TABLE = "calls_expiry";

/** Largest result that is stored in the record; larger ones are stored in the object store. */
export const MAX_INLINE_RESULT_BYTES = 65_536;

/** Time for which a result stays readable after its record became `done`. */
export const RESULT_RETENTION_MS = 86_400_000;

/** Unit of the expiry index: one hour. */
export const EXPIRY_HOUR_MS = 3_600_000;

/** Largest number of records that one clean-up transaction reads and deletes. */
export const CLEAN_UP_BATCH_SIZE = 100;

/** Time after which a caller that was refused because the store is down should retry. */
export const STORE_RETRY_AFTER_MS = 2_000;

/** Default times of {@linkcode createCallLedger}; tests use shorter ones. */
export const LEDGER_TIMING: LedgerTiming = {
  storeTimeoutMs: 1_000,
  // Long enough for three calls to the store, short enough to tell a caller soon that it is down.
  storeWaitMs: 3_000,
  pollMs: 100,
  maxPollMs: 1_000,
  // An owner that is alive but cannot be asked writes `sending` within this time, unless paused.
  startedTakeoverMs: 3_000,
  // An answer that arrives shortly after the caller's deadline is still recorded.
  sendGraceMs: 10_000,
  settleRetryMs: 1_000,
  cleanUpMs: 600_000,
};
