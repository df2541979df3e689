import type { Socket } from "node:net";
import { CLOSE_REASON } from "../types.ts";
import type { CallerConnections } from "./create_caller_connections.ts";
import type { ConnectionCloser } from "./create_connection_closer.ts";
import type { ForwardingContext } from "./request_context.ts";

const HEADER_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Statuses by error code; other errors of the HTTP parser get 400. */
const STATUS_BY_CODE = new Map([
  [HEADER_TIMEOUT_CODE, "408 Request Timeout"],
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", "413 Payload Too Large"],
]);

/**
 * Handles bytes of a caller that are no request, and headers that do not arrive in time.
 *
 * Node.js by itself would answer with an error and close the connection. Earlier requests on the
 * connection would take that for their answer, so they are answered first, and the connection is
 * closed after them.
 *
 * @param context log, metrics and codec of the host
 * @param callers connections of the callers, and their closer
 * @param err error of the HTTP parser or of the connection
 * @param socket the caller's connection
 */
export function handleProtocolError(
  context: ForwardingContext,
  callers: { connections: CallerConnections; closer: ConnectionCloser },
  err: NodeJS.ErrnoException,
  socket: Socket,
): void {
  const { connections, closer } = callers;
  const { code = "" } = err;
  const isProtocolError = code.startsWith("HPE_") || code.startsWith("ERR_HTTP_");
  // The host has ended its side; what still arrives is discarded.
  if (isProtocolError && socket.writableEnded && !socket.readableEnded) return;
  if (!isProtocolError || !socket.writable) return void socket.destroy(err);
  const answers = connections.listAnswers(socket);
  // A caller that closes its side within a request has left, so that the others must be cancelled.
  if (answers.length > 0 && socket.readableEnded) return void socket.destroy(err);
  // The parser reports an error for each further piece of data.
  if (connections.isEnding(socket)) return;
  context.metrics.increment("protocol_error", { code });
  context.log.info({
    code,
    requests: answers.length,
    requestIds: answers.map(({ req }) => context.codec.readCaller(req.rawHeaders).attemptId),
    hasBegun: answers.some(({ headersSent }) => headersSent),
  }, "Connection of a caller failed");
  const hasWholeRequest = answers.some(({ req }) => req.complete);
  const reason = code === HEADER_TIMEOUT_CODE
    ? CLOSE_REASON.HEADER_TIMEOUT
    : CLOSE_REASON.PROTOCOL_ERROR;
  if (hasWholeRequest) return connections.closeAfterAnswers(socket, reason);
  if (!answers.some(({ headersSent }) => headersSent)) {
    socket.write(
      `HTTP/1.1 ${STATUS_BY_CODE.get(code) ?? "400 Bad Request"}\r\nConnection: close\r\n\r\n`,
    );
  }
  // A request whose body cannot be read any more must be cancelled; otherwise the refusal must arrive.
  if (answers.length > 0) closer.close(socket, reason, () => socket.destroy(err));
  else closer.close(socket, reason);
}
