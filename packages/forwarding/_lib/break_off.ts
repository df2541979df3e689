import type { ServerResponse } from "node:http";
import { CLOSE_REASON } from "../types.ts";
import type { CloseReason } from "../types.ts";
import type { ConnectionCloser } from "./create_connection_closer.ts";

/**
 * Closes the connection of an answer that cannot be completed, so that it does not look complete.
 *
 * @param closer closer of callers' connections
 * @param res the answer, whose head was sent
 * @param reason why the answer ends
 */
export function breakOff(
  closer: ConnectionCloser,
  res: ServerResponse,
  reason: CloseReason = CLOSE_REASON.ANSWER_BROKEN_OFF,
): void {
  closer.close(res.req.socket, reason, () => {
    // HTTP/1.0 has no chunks: a body ends when its connection is closed, so only a reset shows a loss.
    if (res.req.httpVersion === "1.0") res.socket?.resetAndDestroy();
    res.destroy();
  });
}
