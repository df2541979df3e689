import { HEADER_LINE_COST_BYTES } from "../constants.ts";
import type { ConnectionMemory } from "./open_connection_memory.ts";

const LINE_END = 0x0a;

/** The memory of the head and the trailers that are being parsed on a connection. */
export interface HeadMemory {
  /** Bytes of the head that has not ended. */
  bytes(): number;
  /** Counts the bytes and lines of a part of a head. */
  count(part: Buffer): void;
  /** Releases the head, which has ended; its request counts it from then on. */
  endHead(): void;
  /**
   * Counts the trailers so far, which the parser keeps until their request has ended.
   *
   * @param texts their names and values in alternation
   */
  countTrailers(texts: readonly string[]): void;
  /** Releases the trailers of a request that has ended. */
  endTrailers(): void;
}

/**
 * Creates the memory of the heads of a connection.
 *
 * @param holder memory of the connection
 * @returns the memory, of which nothing is in use
 *
 * @example
 * const head = createHeadMemory(holder);
 * head.count(slice);
 */
export function createHeadMemory(
  holder: Pick<ConnectionMemory, "chargeHead" | "releaseHead">,
): HeadMemory {
  let headBytes = 0;
  let headCost = 0;
  let trailerCost = 0;

  return {
    bytes: () => headBytes,
    count(part) {
      let lines = 0;
      for (const byte of part) if (byte === LINE_END) lines += 1;
      const cost = part.length + lines * HEADER_LINE_COST_BYTES;
      headBytes += part.length;
      headCost += cost;
      holder.chargeHead(cost);
    },
    endHead() {
      holder.releaseHead(headCost);
      headBytes = 0;
      headCost = 0;
    },
    countTrailers(texts) {
      const lines = texts.length / 2;
      const cost = texts.reduce((sum, { length }) => sum + length, lines * HEADER_LINE_COST_BYTES);
      if (cost <= trailerCost) return;
      const added = cost - trailerCost;
      trailerCost = cost;
      holder.chargeHead(added);
    },
    endTrailers() {
      holder.releaseHead(trailerCost);
      trailerCost = 0;
    },
  };
}
