import type { Socket } from "node:net";
import { CLOSE_REASON } from "../types.ts";
import type { CallerConnections } from "./create_caller_connections.ts";
import type { ConnectionCloser } from "./create_connection_closer.ts";

/**
 * Handles a request for a tunnel (method CONNECT), which hosts do not open.
 *
 * Node.js by itself would close the connection at once, over the requests in progress on it. They are
 * answered first; without one, the tunnel is refused.
 *
 * @param callers connections of the callers, and their closer
 * @param socket the caller's connection, from which Node.js reads no further request
 */
export function handleTunnelRequest(
  callers: { connections: CallerConnections; closer: ConnectionCloser },
  socket: Socket,
): void {
  const { connections, closer } = callers;
  // Node.js has removed its listeners from the socket.
  socket.on("error", () => socket.destroy());
  socket.on("drain", () => void connections.listAnswers(socket).at(0)?.emit("drain"));
  socket.resume();
  if (connections.listAnswers(socket).length > 0) {
    connections.closeAfterAnswers(socket, CLOSE_REASON.PROTOCOL_ERROR);
    return;
  }
  socket.write("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  closer.close(socket, CLOSE_REASON.PROTOCOL_ERROR);
}
