import { TRANSACTIONS_PER_ERA } from "./constants.ts";
import type { StorePosition } from "./encode_revision.ts";

/**
 * Decodes a revision.
 *
 * @param revision the revision
 * @returns era and transaction
 *
 * @example
 * decodeRevision(17); // { era: 0, transaction: 17 }
 */
export function decodeRevision(revision: number): StorePosition {
  return {
    era: Math.floor(revision / TRANSACTIONS_PER_ERA),
    transaction: revision % TRANSACTIONS_PER_ERA,
  };
}
