/**
 * Types of the leases, which are stored in the table service.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** The modes in which a process may use a lease. */
export const LEASE_MODE = {
  /** The lease is valid: the full allowance may be used. */
  HELD: "held",
  /** The lease lapsed because the store does not answer: only the retained share may be used. */
  RETAINED: "retained",
  /** The lease is not held: nothing may be used. */
  NONE: "none",
} as const;

/** A mode of {@linkcode LEASE_MODE}. */
export type LeaseMode = typeof LEASE_MODE[keyof typeof LEASE_MODE];

/** Process that holds a lease, as stored in the lease row. */
export interface LeaseHolder {
  host: string;
  /** Distinguishes successive processes on the same host. */
  incarnation: string;
  /** Peer address, `ip:port`. */
  address: string;
}

/** A lease as seen by a process that holds or watches it. */
export interface Lease {
  readonly name: string;
  /** Returns the current mode, which depends on the clock; call it again before each use. */
  mode(): LeaseMode;
  /** Fencing number of the lease while this process holds it, otherwise 0. */
  fencing(): number;
  /**
   * Returns the part of a limit that this process may use now.
   *
   * The allowances of all processes together never exceed the limit.
   */
  allow(limit: number): number;
  /** Milliseconds until the full allowance ends if the lease is not renewed; 0 when not held. */
  validMs(): number;
  /** The holder according to the last read or write of the row; it may be this process. */
  holder(): LeaseHolder | undefined;
  /** Requests a read of the row in the next round, for example when the holder does not answer. */
  refresh(): void;
  /** Earlier holders for which a retained share is reserved, oldest first. */
  retained(): readonly LeaseHolder[];
  /**
   * Releases the lease, stops its renewal and waits a limited time for the store to confirm.
   *
   * A lease with the same name may be created again at once.
   */
  release(): Promise<void>;
  /**
   * Handles `Leases.Relinquish`: drops a holding with a lower fencing number than the asking
   * holder's.
   *
   * After it answered `released`, this process never uses such a holding again.
   */
  relinquish(request: RelinquishRequest): RelinquishAnswer;
  /** Drops the holding without a write to the store; stops the renewer if it is not shared. */
  stop(): Promise<void>;
}

/** Request of the present holder to an earlier one. */
export interface RelinquishRequest {
  name: string;
  /** The earlier holder that is asked, since another process may run at its address now. */
  holder: Pick<LeaseHolder, "host" | "incarnation">;
  /** Fencing number of the asking holder; holdings with a lower one must be dropped. */
  fencing: number;
}

/**
 * Answer to a {@linkcode RelinquishRequest}. `released` and `newer_incarnation` prove that the
 * earlier holder no longer uses the lease; `unknown` proves nothing.
 */
export type RelinquishAnswer = "released" | "newer_incarnation" | "unknown";

/** Asks an earlier holder to drop its share; resolves to `unknown` if it cannot be reached. */
export type AskHolder = (
  holder: LeaseHolder,
  request: RelinquishRequest,
  signal: AbortSignal,
) => Promise<RelinquishAnswer>;

/** Stored value of a lease row. */
export interface LeaseRow {
  /** Absent after the lease was released. */
  holder?: LeaseHolder | undefined;
  fencing: number;
  /** Earlier holders that may still use a retained share, oldest first. */
  retained: LeaseHolder[];
}

/** Times of the lease protocol; see the constants in `LEASE_TIMING` for their meaning. */
export interface LeaseTiming {
  validMs: Millis;
  takeoverMs: Millis;
  renewMs: Millis;
  retryMs: Millis;
  watchMs: Millis;
  askMs: Millis;
  dispatchWindowMs: Millis;
  retainedMaxMs: Millis;
  reclaimMarginMs: Millis;
  storeTimeoutMs: Millis;
}
