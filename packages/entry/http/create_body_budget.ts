import type { MemoryBudget } from "@jaypass/client_limits";

/**
 * Creates a budget that limits the memory of bodies that are not counted for a connection.
 *
 * @param maxBytes maximum number of bytes of all bodies together
 * @returns the budget
 *
 * @example
 * const budget = createBodyBudget(MAX_BODY_BYTES);
 * if (!budget.tryReserve(chunk.length)) refuse();
 */
export function createBodyBudget(maxBytes: number): MemoryBudget {
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
  };
}
