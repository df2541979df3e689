import type { ServerResponse } from "node:http";

/**
 * Sends a JSON response. Does nothing if headers were already sent or the connection is closed.
 *
 * @param res the response
 * @param body any JSON value
 * @param options status (200 by default) and additional headers
 *
 * @example
 * sendJson(res, { addresses }, { headers: { "cache-control": "max-age=15" } });
 */
export function sendJson(
  res: ServerResponse,
  body: unknown,
  options: { status?: number; headers?: Record<string, string> } = {},
): void {
  if (res.headersSent || res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(options.status ?? 200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...options.headers,
  });
  res.end(text);
}
