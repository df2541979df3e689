import { STORE_ERA_COUNT, TRANSACTIONS_PER_ERA } from "./constants.ts";

/** Position in the history of the store. */
export interface StorePosition {
  /**
   * Number of times that the store has come back from a copy, which loses the latest transactions; their
   * numbers are given out again.
   */
  era: number;
  /** Number of the transaction within the history of the era. */
  transaction: number;
}

/**
 * Encodes a position in the history of the store as one number, so that all of a later era is newer.
 * Without eras it is the number of the transaction.
 *
 * @param position era and transaction
 * @returns the revision
 * @throws {RangeError} if the transaction does not fit
 *
 * @example
 * encodeRevision({ era: 0, transaction: 17 }); // 17
 */
export function encodeRevision({ era, transaction }: StorePosition): number {
  if (transaction >= TRANSACTIONS_PER_ERA) {
    throw new RangeError(`Transaction number "${transaction}" is too large`);
  }
  return (era % STORE_ERA_COUNT) * TRANSACTIONS_PER_ERA + transaction;
}
