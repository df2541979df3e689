import type { IncomingMessage, ServerResponse } from "node:http";
import { discardBody } from "@jaypass/kernel";
import { UNREAD_BODY_IDLE_MS } from "../constants.ts";
import type { ForwardingError } from "../errors.ts";
import type { ForwardingContext } from "./request_context.ts";

const MILLIS_PER_SECOND = 1_000;

/** Options of {@linkcode sendFailure}. */
export interface SendFailureOptions {
  /** Announces that the connection is closed after the answer. */
  shouldClose: boolean;
  /** Most bytes of the body that are read and discarded. */
  maxUnreadBytes: number;
  /** Has the connection closed after this answer and those to earlier requests on it. */
  closeAfterAnswers: () => void;
}

/**
 * Answers a request with a failure as JSON.
 *
 * The rest of a body that is still arriving is read and discarded. Closing the connection meanwhile
 * would reset it, and the caller could lose the answer, and the answers to the requests that it has
 * sent behind this one. The connection is closed only if the body does not end within the limits, and
 * after the answers to earlier requests on it; a caller that states a longer body is told so.
 *
 * @param context services of the host
 * @param req the caller's request
 * @param res the answer to the caller
 * @param failure status, reason and retry delay
 * @param options whether and how the connection is closed, and the limit of the body
 * @throws what Node.js throws if the head cannot be written
 */
export async function sendFailure(
  context: ForwardingContext,
  req: IncomingMessage,
  res: ServerResponse,
  failure: ForwardingError,
  options: SendFailureOptions,
): Promise<void> {
  const body = Buffer.from(JSON.stringify({ error: failure.reason }));
  const headers = ["Content-Type", "application/json", "Content-Length", String(body.length)];
  if (failure.retryAfterMs !== undefined) {
    headers.push(context.codec.retryAfterName, String(failure.retryAfterMs / MILLIS_PER_SECOND));
  }
  const statedBytes = Number(req.headers["content-length"] ?? 0);
  if (options.shouldClose || statedBytes > options.maxUnreadBytes) {
    headers.push("Connection", "close");
  }
  res.writeHead(failure.status, headers);
  if (req.complete) {
    req.resume();
    res.end(body);
    return;
  }
  res.write(body);
  const hasEnded = await discardBody(req, {
    maxBytes: options.maxUnreadBytes,
    idleTimeoutMs: UNREAD_BODY_IDLE_MS,
  });
  res.end();
  if (!hasEnded) options.closeAfterAnswers();
}
