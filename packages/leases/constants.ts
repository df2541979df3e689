/**
 * Constants of the leases (section 4.2 of the design).
 *
 * @module
 */
import type { LeaseTiming } from "./types.ts";

/** Table of the lease rows. */
export const LEASES_TABLE = "leases";

/** A lease is valid for this long, counted by its holder from before it sent the renewal. */
export const LEASE_VALID_MS = 9_000;

/**
 * Another process may take over after it has seen the row unchanged for this long.
 *
 * A third above the validity, so that clocks that differ in speed by up to a third cannot overlap.
 */
export const LEASE_TAKEOVER_MS = 12_000;

/** Time between two renewals; two may fail before the full allowance ends. */
export const LEASE_RENEW_MS = 3_000;

/** Pause before a failed renewal is repeated. */
export const LEASE_RETRY_MS = 1_000;

/** Time between two reads of the rows that this process does not hold. */
export const LEASE_WATCH_MS = 2_000;

/** Time between two questions to an earlier holder. */
export const LEASE_ASK_MS = 5_000;

/**
 * A grant is dispatched within this time or void.
 *
 * The full allowance ends this long before the lease lapses, and a dropped share is used by the
 * holder only after this time.
 */
export const GRANT_DISPATCH_WINDOW_MS = 1_000;

/** A retained share ends this long after the lapse: twice the hour for which regions may part. */
export const RETAINED_SHARE_MAX_MS = 7_200_000;

/**
 * The holder waits this much longer before it uses an expired share.
 *
 * Covers clocks that differ in speed by up to 0.8% over the two hours.
 */
export const RETAINED_RECLAIM_MARGIN_MS = 60_000;

/** Deadline of a call to the store; below the renewal period, so that rounds do not pile up. */
export const LEASE_STORE_TIMEOUT_MS = 2_000;

/** The times that {@linkcode createLeaseRenewer} uses unless tests shorten them. */
export const LEASE_TIMING: LeaseTiming = {
  validMs: LEASE_VALID_MS,
  takeoverMs: LEASE_TAKEOVER_MS,
  renewMs: LEASE_RENEW_MS,
  retryMs: LEASE_RETRY_MS,
  watchMs: LEASE_WATCH_MS,
  askMs: LEASE_ASK_MS,
  dispatchWindowMs: GRANT_DISPATCH_WINDOW_MS,
  retainedMaxMs: RETAINED_SHARE_MAX_MS,
  reclaimMarginMs: RETAINED_RECLAIM_MARGIN_MS,
  storeTimeoutMs: LEASE_STORE_TIMEOUT_MS,
};
