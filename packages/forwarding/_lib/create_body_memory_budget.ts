import { FAILURE, ForwardingError } from "../errors.ts";

/** Counts the bytes of bodies that a host holds. */
export interface BodyMemoryBudget {
  /** Takes bytes; false when none are left. */
  tryReserve(bytes: number): boolean;
  /** Gives bytes back. */
  release(bytes: number): void;
}

/**
 * Creates the budget of bytes for request bodies.
 *
 * @param limitBytes bytes held at most
 * @returns the budget
 *
 * @example
 * const memory = createBodyMemory(48 * 1024 * 1024);
 */
export function createBodyMemoryBudget(limitBytes: number): BodyMemoryBudget {
  let takenBytes = 0;
  return {
    tryReserve(bytes) {
      if (takenBytes + bytes > limitBytes) return false;
      takenBytes += bytes;
      return true;
    },
    release(bytes) {
      takenBytes -= bytes;
    },
  };
}

/** Throws when the budget has no room for more of a body. */
export function reserveBodyMemory(memory: BodyMemoryBudget, bytes: number): void {
  if (!memory.tryReserve(bytes)) {
    throw new ForwardingError(503, FAILURE.BODY_MEMORY, { retryAfterMs: 500 });
  }
}
