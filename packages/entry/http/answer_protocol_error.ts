import type { Socket } from "node:net";
import type { OpenConnections } from "./create_open_connections.ts";

/** Code of the error for headers that do not arrive in time. */
export const HEADER_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Statuses by error code; other errors of the HTTP parser get 400. */
const STATUS_BY_CODE = new Map([
  [HEADER_TIMEOUT_CODE, "408 Request Timeout"],
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", "413 Payload Too Large"],
]);

/**
 * Answers bytes of a caller that are no request, or headers that do not arrive in time, and closes
 * the connection. Node.js by itself would cut off whole requests in progress on the connection, which
 * are answered first here.
 *
 * @param err error of the HTTP parser or of the connection
 * @param socket the caller's connection
 * @param connections open connections of the server
 *
 * @example
 * server.on("clientError", (err, socket) => answerProtocolError(err, socket, connections));
 */
export function answerProtocolError(
  err: NodeJS.ErrnoException,
  socket: Socket,
  connections: OpenConnections,
): void {
  const { code = "" } = err;
  const isProtocolError = code.startsWith("HPE_") || code.startsWith("ERR_HTTP_");
  if (!isProtocolError || !socket.writable) return void socket.destroy(err);
  if (connections.hasWholeRequest(socket)) {
    // A caller that closes its side within a request has left.
    if (socket.readableEnded) socket.destroy(err);
    else connections.closeAfterRequests(socket);
    return;
  }
  if (!connections.hasBegunResponse(socket)) {
    const status = STATUS_BY_CODE.get(code) ?? "400 Bad Request";
    socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(err);
}
