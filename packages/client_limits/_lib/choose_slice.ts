/** End of a head, of trailers and of a body in chunks. */
const END = "\r\n\r\n";

/** Bytes before a slice in which an end may begin. */
export const TAIL_BYTES = END.length - 1;

/**
 * Chooses how many of a connection's unread bytes are parsed next.
 *
 * Answers the load of pipelined requests: at most one head ends in a slice, at its end, so that the
 * next one can wait unread.
 *
 * @param unread first piece of the unread bytes
 * @param options last bytes that were parsed, bytes until the end of a body of known length, and bytes
 * left in the turn
 * @returns number of bytes, at least 1 unless nothing is left
 *
 * @example
 * chooseSlice(Buffer.from("GET / HTTP/1.1\r\n\r\nGET"), { tail, bodyBytes: undefined, turnBytes }); // 18
 */
export function chooseSlice(
  unread: Buffer,
  { tail, bodyBytes, turnBytes }: {
    tail: Buffer;
    bodyBytes: number | undefined;
    turnBytes: number;
  },
): number {
  const most = Math.min(unread.length, turnBytes);
  if (bodyBytes !== undefined) return Math.min(most, bodyBytes);
  const border = Buffer.concat([tail, unread.subarray(0, TAIL_BYTES)]);
  const atBorder = border.indexOf(END);
  if (atBorder >= 0) return Math.min(most, atBorder + END.length - tail.length);
  const inside = unread.subarray(0, most).indexOf(END);
  return inside < 0 ? most : inside + END.length;
}
