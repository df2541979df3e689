import type { IncomingMessage, ServerResponse } from "node:http";
import type { ForwardingError } from "../errors.ts";
import type { ForwardingContext } from "./request_context.ts";

const MILLIS_PER_SECOND = 1_000;

/**
 * Answers a request with a failure as JSON. The connection is closed afterwards if the body of the
 * request was not read completely.
 *
 * @param context services of the host
 * @param req the caller's request
 * @param res the answer to the caller
 * @param failure status, reason and retry delay
 * @param options shouldClose: announces that the connection is closed after the answer
 */
export function sendFailure(
  context: ForwardingContext,
  req: IncomingMessage,
  res: ServerResponse,
  failure: ForwardingError,
  options: { shouldClose: boolean },
): void {
  const body = Buffer.from(JSON.stringify({ error: failure.reason }));
  const headers = ["Content-Type", "application/json", "Content-Length", String(body.length)];
  if (failure.retryAfterMs !== undefined) {
    headers.push(context.codec.retryAfterName, String(failure.retryAfterMs / MILLIS_PER_SECOND));
  }
  const hasUnreadBody = !req.complete;
  if (options.shouldClose || hasUnreadBody) headers.push("Connection", "close");
  res.writeHead(failure.status, headers);
  res.end(body);
}
