import { MAX_BODY_BLOCK_BYTES, MIN_BODY_BLOCK_BYTES, SMALL_PIECE_BYTES } from "./constants.ts";
import type { MemoryBudget } from "./create_memory_account.ts";

/** Collects the pieces of a body. */
export interface BodyCollector {
  /**
   * Adds a piece.
   *
   * @throws the error of the options if the memory budget does not allow it
   */
  add(piece: Buffer): void;
  /** Adds a piece; returns false if the memory budget does not allow it. */
  tryAdd(piece: Buffer): boolean;
  /** Bytes of the pieces. */
  length(): number;
  /** Returns the whole body, whose length stays reserved; the collector must not be used afterwards. */
  finish(): Buffer;
  /** Releases the memory of all pieces. */
  discard(): void;
}

/**
 * Creates a collector of a body's pieces, which copies small pieces into common blocks: a piece of one
 * byte takes a few hundred bytes as an object of its own.
 *
 * @param memory budget from which the memory is reserved
 * @param createError creates the error for an exhausted budget that {@linkcode BodyCollector.add} throws
 * @returns the collector
 *
 * @example
 * const body = createBodyCollector(memory, createBodyMemoryError);
 * req.on("data", (piece) => body.add(piece));
 */
export function createBodyCollector(
  memory: MemoryBudget,
  createError: () => Error = () => new Error("Memory budget is exhausted"),
): BodyCollector {
  const parts: Buffer[] = [];
  let block = Buffer.alloc(0);
  let used = 0;
  let length = 0;
  let reserved = 0;

  const tryReserve = (bytes: number): boolean => {
    if (!memory.tryReserve(bytes)) return false;
    reserved += bytes;
    return true;
  };
  const closeBlock = () => {
    if (used > 0) parts.push(block.subarray(0, used));
    block = Buffer.alloc(0);
    used = 0;
  };
  const discard = () => {
    memory.release(reserved);
    reserved = 0;
    length = 0;
    parts.length = 0;
    block = Buffer.alloc(0);
  };

  const tryAdd = (piece: Buffer): boolean => {
    if (piece.length >= SMALL_PIECE_BYTES) {
      if (!tryReserve(piece.length)) return false;
      closeBlock();
      parts.push(piece);
    } else {
      if (used + piece.length > block.length) {
        const wanted = Math.min(MAX_BODY_BLOCK_BYTES, Math.max(MIN_BODY_BLOCK_BYTES, length));
        const size = Math.max(wanted, piece.length);
        if (!tryReserve(size)) return false;
        closeBlock();
        block = Buffer.allocUnsafeSlow(size);
      }
      used += piece.copy(block, used);
    }
    length += piece.length;
    return true;
  };

  return {
    add(piece) {
      if (!tryAdd(piece)) throw createError();
    },
    tryAdd,
    length: () => length,
    finish() {
      closeBlock();
      const [only] = parts;
      const body =
        parts.length === 1 && only !== undefined && only.length === only.buffer.byteLength
          ? only
          : Buffer.concat(parts, length);
      memory.release(reserved - length);
      reserved = length;
      return body;
    },
    discard,
  };
}
