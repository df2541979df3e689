import type { IncomingMessage } from "node:http";

/** Status codes of answers that never have a body. */
const STATUS_WITHOUT_BODY = new Set([204, 304]);

/**
 * Reports whether only the end of the connection ends the body of an answer, because the answer has
 * neither a length nor chunks.
 *
 * @param method method of the request, in upper case
 * @param res the answer
 * @returns true if a body that is cut cannot be recognised by its framing
 *
 * @example
 * if (endsWithConnection("GET", res)) await detectReset(socket);
 */
export function endsWithConnection(
  method: string,
  { statusCode, headers }: Pick<IncomingMessage, "statusCode" | "headers">,
): boolean {
  if (method === "HEAD" || STATUS_WITHOUT_BODY.has(statusCode ?? 0)) return false;
  const encoding = headers["transfer-encoding"];
  // A body has chunks only if they are its last transfer encoding.
  if (encoding !== undefined) return !/(?:^|,)\s*chunked\s*$/i.test(encoding);
  return headers["content-length"] === undefined;
}
