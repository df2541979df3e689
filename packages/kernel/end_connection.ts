import type { Socket } from "node:net";
import type { Millis } from "./types.ts";

/** Options of {@linkcode endConnection}. */
export interface EndConnectionOptions {
  /** Longest time for which the caller may keep its side open. */
  lingerMs: Millis;
  /** Bytes that are sent last; none by default. */
  lastBytes?: string;
}

/**
 * Ends a connection, and discards what arrives on it until the caller has ended its side.
 *
 * Data that arrives at a closed socket resets the connection, so that the caller could lose an answer
 * that it has not read yet.
 *
 * @param socket the caller's connection
 * @param options time limit and last bytes
 *
 * @example
 * endConnection(socket, { lingerMs: 1_000 });
 */
export function endConnection(socket: Socket, options: EndConnectionOptions): void {
  const { lingerMs, lastBytes = "" } = options;
  if (socket.destroyed || socket.writableEnded) return;
  socket.end(lastBytes);
  const timer = setTimeout(() => socket.destroy(), lingerMs);
  socket.once("close", () => clearTimeout(timer));
}
