import type { IncomingMessage, ServerResponse } from "node:http";
import type { ForwardingError } from "../errors.ts";
import type { ForwardingContext } from "./request_context.ts";

const MILLIS_PER_SECOND = 1_000;

/**
 * Sends a failure of the host's own as JSON.
 *
 * @param context the host
 * @param req the caller's request; a body that was not read closes the connection
 * @param res the answer
 * @param failure status, reason and when to come back
 */
export function sendFailure(
  context: ForwardingContext,
  req: IncomingMessage,
  res: ServerResponse,
  failure: ForwardingError,
): void {
  const body = Buffer.from(JSON.stringify({ error: failure.reason }));
  const headers = ["Content-Type", "application/json", "Content-Length", String(body.length)];
  if (failure.retryAfterMs !== undefined) {
    headers.push(context.codec.retryAfterName, String(failure.retryAfterMs / MILLIS_PER_SECOND));
  }
  const hasUnreadBody = !req.complete;
  if (context.isClosing() || hasUnreadBody) headers.push("Connection", "close");
  res.writeHead(failure.status, headers);
  res.end(body);
}
