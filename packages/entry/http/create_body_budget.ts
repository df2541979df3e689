/** Counts the bytes of bodies that a host holds. */
export interface BodyBudget {
  /** Takes bytes; false when the budget does not allow it. */
  tryReserve(bytes: number): boolean;
  release(bytes: number): void;
  reservedBytes(): number;
}

/**
 * Creates a budget that bounds the memory of request bodies on a host.
 *
 * @param maxBytes bytes that all bodies together may hold
 * @returns the budget
 *
 * @example
 * const budget = createBodyBudget(256 * 1024 * 1024);
 * if (!budget.take(chunk.length)) refuse();
 */
export function createBodyBudget(maxBytes: number): BodyBudget {
  let held = 0;
  return {
    tryReserve(bytes) {
      if (held + bytes > maxBytes) return false;
      held += bytes;
      return true;
    },
    release(bytes) {
      held -= bytes;
    },
    reservedBytes: () => held,
  };
}
