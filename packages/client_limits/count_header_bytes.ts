import type { IncomingMessage } from "node:http";

/**
 * Counts the bytes of a request line and of header lines, each with its line end.
 *
 * @param req the request
 * @returns number of bytes
 */
export function countHeaderBytes(
  { method = "", url = "", rawHeaders }: Pick<IncomingMessage, "method" | "url" | "rawHeaders">,
): number {
  const requestLine = `${method} ${url} HTTP/1.1\r\n`.length;
  // A name or a value is followed by ": " or by a line end.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, requestLine);
}
