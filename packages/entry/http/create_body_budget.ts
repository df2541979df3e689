/** Memory budget for the request bodies of a host. */
export interface BodyBudget {
  /** Reserves bytes; returns false if they exceed the budget. */
  tryReserve(bytes: number): boolean;
  release(bytes: number): void;
  reservedBytes(): number;
}

/**
 * Creates a budget that limits the memory of request bodies on a host.
 *
 * @param maxBytes maximum number of bytes of all bodies together
 * @returns the budget
 *
 * @example
 * const budget = createBodyBudget(256 * 1024 * 1024);
 * if (!budget.take(chunk.length)) refuse();
 */
export function createBodyBudget(maxBytes: number): BodyBudget {
  let reserved = 0;
  return {
    tryReserve(bytes) {
      if (reserved + bytes > maxBytes) return false;
      reserved += bytes;
      return true;
    },
    release(bytes) {
      reserved -= bytes;
    },
    reservedBytes: () => reserved,
  };
}
