/**
 * Contracts of leases in the table service.
 *
 * @module
 */

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
  /** Gives the lease up and awaits the store's confirmation within a bound. */
  release(): Promise<void>;
}
