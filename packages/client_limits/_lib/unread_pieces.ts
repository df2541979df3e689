import type { Millis } from "@jaypass/kernel";
import { PIECE_COST_BYTES } from "../constants.ts";

/** Bytes of a connection that were read at a time, without those that were parsed. */
export interface Piece {
  bytes: Buffer;
  /** Time at which they came. */
  atMs: Millis;
  /** Memory that it takes until all of it was parsed. */
  cost: number;
}

/** Creates a piece of the bytes that came at a time. */
export function createPiece(bytes: Buffer, atMs: Millis): Piece {
  return { bytes, atMs, cost: bytes.length + PIECE_COST_BYTES };
}

/** Adds up the memory that pieces take. */
export function sumCosts(pieces: readonly Piece[]): number {
  return pieces.reduce((sum, { cost }) => sum + cost, 0);
}

/** Joins pieces, each of which takes more than its bytes. */
export function joinPieces(pieces: readonly Piece[], atMs: Millis): Piece {
  return createPiece(Buffer.concat(pieces.map(({ bytes }) => bytes)), atMs);
}
