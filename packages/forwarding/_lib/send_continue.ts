import type { ServerResponse } from "node:http";

/**
 * Waits until it is the turn of a request on its connection, and sends status 100.
 *
 * Node.js would write it behind the head of the request's own answer if that were there before its
 * turn, so that the caller would take it for a part of the body. It would close the connection after
 * an answer without status 100, over the requests behind it.
 *
 * @param res the answer to a request that expects status 100
 * @param previous the answer to the request in front of it on the connection, if one is in progress
 */
export async function sendContinue(
  res: ServerResponse,
  previous: ServerResponse | undefined,
): Promise<void> {
  if (previous !== undefined && !previous.closed) {
    await new Promise<void>((resolve) => previous.once("close", resolve));
  }
  if (!res.headersSent && !res.destroyed) res.writeContinue();
}
