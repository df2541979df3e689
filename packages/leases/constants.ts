/**
 * Constants of the leases (section 4.2 of the design).
 *
 * @module
 */
import type { LeaseTiming } from "./types.ts";

/** Table of the lease rows. */
export const LEASES_TABLE = "leases";

/** Validity of a lease; its holder counts it from the time just before it sent the renewal. */
export const LEASE_VALID_MS = 9_000;

/**
 * Time for which another process must see the row unchanged before it may take the lease over.
 *
 * It is a third longer than the validity, so that two holdings cannot overlap even if the clocks
 * differ in speed by up to a third.
 */
export const LEASE_TAKEOVER_MS = 12_000;

/** Interval of the renewals; two may fail before the full allowance ends. */
export const LEASE_RENEW_MS = 3_000;

/** Pause before a failed renewal is repeated. */
export const LEASE_RETRY_MS = 1_000;

/** Interval of the reads of the lease rows that this process does not hold. */
export const LEASE_WATCH_MS = 2_000;

/**
 * Number of watch rounds of which only one reads the leases for which this process is no candidate.
 *
 * At 116 leases of 150 bytes, reading them in every round would cost a host 8.7 KB/s of its total
 * budget of 2 KB/s.
 */
export const IDLE_WATCH_ROUNDS = 8;

/** Interval at which an earlier holder is asked to relinquish its share. */
export const LEASE_ASK_MS = 5_000;

/**
 * Time within which a grant must be dispatched; a later dispatch is invalid.
 *
 * For this reason the full allowance ends this long before the lease lapses, and the holder uses a
 * relinquished share only after this time.
 */
export const GRANT_DISPATCH_WINDOW_MS = 1_000;

/**
 * Time after the lapse of a lease at which its retained share ends: twice the hour for which
 * regions may be partitioned.
 */
export const RETAINED_SHARE_MAX_MS = 7_200_000;

/**
 * Additional time that the holder waits before it uses an expired retained share.
 *
 * It covers clocks that differ in speed by up to 0.8% over the two hours of a retained share.
 */
export const RETAINED_RECLAIM_MARGIN_MS = 60_000;

/**
 * Timeout of a call to the store; shorter than the renewal interval, so that rounds do not queue.
 */
export const LEASE_STORE_TIMEOUT_MS = 2_000;

/** Default times of {@linkcode createLeaseRenewer}; tests use shorter ones. */
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
