import { once } from "node:events";
import type { ServerResponse } from "node:http";

/**
 * Waits until the operating system has the whole answer, or its connection is closed. A process that
 * exits earlier cuts off the answer of a caller that reads slowly.
 */
export async function waitForDelivery(res: ServerResponse): Promise<void> {
  if (res.writableFinished || res.closed) return;
  // The connection has closed before the turn of this answer came.
  if (res.destroyed && res.socket === null) return;
  await once(res, "close");
}
