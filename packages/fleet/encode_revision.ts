import { STORE_ERA_COUNT, TRANSACTIONS_PER_ERA } from "./constants.ts";

/** Position in the history of the store. */
export interface StorePosition {
  /**
   * Number of times that the store has come back from a copy, which loses the latest transactions; their
   * numbers are given out again. Below `STORE_ERA_COUNT`.
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
 * @throws {RangeError} if one of them is too large
 *
 * @example
 * encodeRevision({ era: 0, transaction: 17 }); // 17
 */
export function encodeRevision({ era, transaction }: StorePosition): number {
  if (era >= STORE_ERA_COUNT || transaction >= TRANSACTIONS_PER_ERA) {
    throw new RangeError(`Transaction "${transaction}" of era "${era}" is out of range`);
  }
  return era * TRANSACTIONS_PER_ERA + transaction;
}
