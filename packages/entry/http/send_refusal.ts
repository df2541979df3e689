import type { ServerResponse } from "node:http";
import { discardBody } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import { MIN_UNREAD_BODY_LIMIT_BYTES, UNREAD_BODY_IDLE_MS } from "../constants.ts";

/** Options of {@linkcode sendRefusal}. */
export interface SendRefusalOptions {
  status: number;
  /** Additional headers. */
  headers: Record<string, string>;
  /** Limits of the settings on bodies. */
  limits: { maxBodyBytes: number; bodyTimeoutMs: Millis };
}

/**
 * Refuses a request with a JSON response; never rejects. Does nothing if headers were already sent
 * or the connection is closed.
 *
 * The connection is closed afterwards if the body is still arriving, but only once its rest has been
 * read and discarded within limits: the caller could lose the response to a reset otherwise.
 *
 * @param res the response
 * @param body any JSON value
 * @param options status, headers and limits
 * @returns resolves when the response has ended
 *
 * @example
 * await sendRefusal(res, { error }, { status: 413, headers: {}, limits: settings.limits });
 */
export async function sendRefusal(
  res: ServerResponse,
  body: unknown,
  options: SendRefusalOptions,
): Promise<void> {
  if (res.headersSent || res.destroyed) return;
  const { req } = res;
  const { maxBodyBytes, bodyTimeoutMs } = options.limits;
  const text = JSON.stringify(body);
  res.writeHead(options.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...(req.complete ? {} : { connection: "close" }),
    ...options.headers,
  });
  res.write(text);
  if (!req.complete) {
    await discardBody(req, {
      maxBytes: Math.max(maxBodyBytes, MIN_UNREAD_BODY_LIMIT_BYTES),
      idleTimeoutMs: UNREAD_BODY_IDLE_MS,
      timeoutMs: bodyTimeoutMs,
    });
  }
  res.end();
}
