import type { MemoryBudget } from "@jaypass/client_limits";
import { FAILURE, ForwardingError } from "../errors.ts";

/** Budget of the memory that a host uses to buffer request bodies. */
export interface BodyMemoryBudget extends MemoryBudget {
  /**
   * Sets what gives up memory of a body that is being read, for a budget that asks for it; undefined
   * when nothing can be given up any more.
   */
  setGiveUp?(giveUp: (() => void) | undefined): void;
}

/**
 * Creates the memory budget for request bodies.
 *
 * @param limitBytes largest number of bytes reserved at a time
 * @returns the budget
 *
 * @example
 * const memory = createBodyMemoryBudget(48 * 1024 * 1024);
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

/**
 * Reserves memory for a part of a body.
 *
 * @throws {ForwardingError} if the budget is exhausted
 */
export function reserveBodyMemory(memory: BodyMemoryBudget, bytes: number): void {
  if (!memory.tryReserve(bytes)) throw createBodyMemoryError();
}

/** Creates the refusal of a request for whose body the host has no memory; it has not been passed on. */
export function createBodyMemoryError(): ForwardingError {
  return new ForwardingError(503, FAILURE.BODY_MEMORY, { retryAfterMs: 500 });
}
