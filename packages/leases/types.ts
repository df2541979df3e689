/**
 * Contracts of leases in the table service.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** The modes in which a process may use a lease. */
export const LEASE_MODE = {
  /** Valid: the full allowance may be used. */
  HELD: "held",
  /** Lapsed while the store does not answer: only the retained share may be used. */
  RETAINED: "retained",
  /** Nothing may be used. */
  NONE: "none",
} as const;

/** A mode of {@linkcode LEASE_MODE}. */
export type LeaseMode = typeof LEASE_MODE[keyof typeof LEASE_MODE];

/** Who holds a lease, as its row tells. */
export interface LeaseHolder {
  host: string;
  /** Distinguishes processes that run on the same host one after another. */
  incarnation: string;
  /** Peer address, `ip:port`. */
  address: string;
}

/** A lease as seen by a process that holds it or wants it. */
export interface Lease {
  readonly name: string;
  /** The mode at this moment; read the clock again before each use. */
  mode(): LeaseMode;
  /** Fencing number of the own holding, 0 when it is not held. */
  fencing(): number;
  /**
   * The part of a limit that this process may use now.
   *
   * The allowances of all processes never add up to more than the limit.
   */
  allow(limit: number): number;
  /** Milliseconds until the full allowance ends unless it is renewed; 0 when not held. */
  validMs(): number;
  /** The holder that the row last named, which may be this process. */
  holder(): LeaseHolder | undefined;
  /** Earlier holders whose retained shares are set aside, oldest first. */
  retained(): readonly LeaseHolder[];
  /** Gives the lease up and awaits the store's confirmation within a bound. */
  release(): Promise<void>;
  /**
   * Handles `Leases.Relinquish`: drops a holding that is older than the asking holder's.
   *
   * After the answer `released` this process never uses such a holding again.
   */
  relinquish(request: RelinquishRequest): RelinquishAnswer;
  /** Ends the holding and the participation without a write; the own renewer is stopped. */
  stop(): Promise<void>;
}

/** What the present holder asks an earlier one. */
export interface RelinquishRequest {
  name: string;
  /** The earlier holder that is asked; another process at its address answers for itself only. */
  holder: Pick<LeaseHolder, "host" | "incarnation">;
  /** Fencing number of the asking holder; holdings below it are to be dropped. */
  fencing: number;
}

/** Answers that prove that an earlier holder stopped, and the one that proves nothing. */
export type RelinquishAnswer = "released" | "newer_incarnation" | "unknown";

/** Asks an earlier holder to drop its share; resolves to `unknown` when it cannot be reached. */
export type AskHolder = (
  holder: LeaseHolder,
  request: RelinquishRequest,
  signal: AbortSignal,
) => Promise<RelinquishAnswer>;

/** Value of a lease row. */
export interface LeaseRow {
  /** Absent after a release. */
  holder?: LeaseHolder | undefined;
  fencing: number;
  /** Earlier holders that may still use a retained share, oldest first. */
  retained: LeaseHolder[];
}

/** Times of the lease protocol in milliseconds; see the constants for their reasons. */
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
