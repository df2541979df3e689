import type { MemoryBudget } from "@jaypass/client_limits";
import { FAILURE, ForwardingError } from "../errors.ts";

/**
 * Creates the memory budget for request bodies.
 *
 * @param limitBytes largest number of bytes reserved at a time
 * @returns the budget
 *
 * @example
 * const memory = createBodyMemoryBudget(48 * 1024 * 1024);
 */
export function createBodyMemoryBudget(limitBytes: number): MemoryBudget {
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

/** Creates the refusal of a request for whose body the host has no memory; it has not been passed on. */
export function createBodyMemoryError(): ForwardingError {
  return new ForwardingError(503, FAILURE.BODY_MEMORY, { retryAfterMs: 500 });
}
