import type { Socket } from "node:net";

/** How the connection of a cut answer ends. */
export const CUT_END = {
  /** The server closes its connection regularly. */
  CLOSE: "close",
  /** The server resets its connection right after the last bytes. */
  RESET: "reset",
  /** The server resets its connection a few milliseconds after the last bytes. */
  LATE_RESET: "late_reset",
  /** The server keeps its connection open and sends nothing more. */
  SILENCE: "silence",
} as const;

/** One of {@linkcode CUT_END}. */
export type CutEnd = typeof CUT_END[keyof typeof CUT_END];

/** Time that separates a late reset from the last bytes. */
const LATE_RESET_MS = 5;

/**
 * Sends the beginning of an answer and ends the connection.
 *
 * @param socket the connection
 * @param bytes the beginning of the answer, in ASCII
 * @param end how the connection ends
 *
 * @example
 * sendCutAnswer(socket, "HTTP/1.1 200 O", CUT_END.CLOSE);
 */
export function sendCutAnswer(socket: Socket, bytes: string, end: CutEnd): void {
  socket.on("error", () => {});
  if (end === CUT_END.CLOSE) {
    socket.end(bytes);
  } else if (end === CUT_END.RESET) {
    socket.write(bytes, () => socket.resetAndDestroy());
  } else {
    socket.write(bytes);
    if (end === CUT_END.LATE_RESET) setTimeout(() => socket.resetAndDestroy(), LATE_RESET_MS);
  }
}
