import type { ServerResponse } from "node:http";

/**
 * Closes the connection of an answer that cannot be completed, so that it does not look complete.
 *
 * @param res the answer, whose head was sent
 */
export function breakOff(res: ServerResponse): void {
  // HTTP/1.0 has no chunks: a body ends when its connection is closed, so only a reset shows a loss.
  if (res.req.httpVersion === "1.0") res.socket?.resetAndDestroy();
  res.destroy();
}
