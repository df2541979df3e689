/**
 * Constants of the call ledger (section 4.4 of the design).
 *
 * @module
 */
import type { LedgerTiming } from "./types.ts";

/** Table of the records, keyed by workspace, service and idempotency key. */
export const CALLS_TABLE = "calls";

/** Table with one row for each record in `sending`, so that unknown calls are found cheaply. */
export const CALLS_SENDING_TABLE = "calls_sending";

/** Table with one row for each record, keyed by the hour in which it may be deleted. */
export const CALLS_EXPIRY_TABLE = "calls_expiry";

/** Larger results are kept in the object store. */
export const MAX_INLINE_RESULT_BYTES = 65_536;

/** Results stay readable for this long after `done`. */
export const RESULT_RETENTION_MS = 86_400_000;

/** Unit of the expiry index. */
export const EXPIRY_HOUR_MS = 3_600_000;

/** Records read and deleted by one clean-up transaction. */
export const CLEAN_UP_BATCH_SIZE = 100;

/** What a refused caller is told to wait while the store is down. */
export const STORE_RETRY_AFTER_MS = 2_000;

/** The times that {@linkcode createCallLedger} uses unless tests shorten them. */
export const LEDGER_TIMING: LedgerTiming = {
  storeTimeoutMs: 1_000,
  // Three calls to the store; a caller learns soon that the store is down.
  storeWaitMs: 3_000,
  pollMs: 100,
  maxPollMs: 1_000,
  // A live owner that cannot be asked reaches its swap within this time unless it is paused.
  startedTakeoverMs: 3_000,
  // An answer that arrives shortly after the caller's deadline still settles the call.
  sendGraceMs: 10_000,
  settleRetryMs: 1_000,
  cleanUpMs: 600_000,
};
