import type { Socket } from "node:net";

/**
 * Detects whether a connection that the other side ended was reset.
 *
 * Node.js reports a reset that arrives together with the last bytes as a normal end, but a write to
 * such a connection fails immediately. The empty line that is written is not a request, and a
 * server that closed its side of the connection does not read it.
 *
 * @param socket connection of a client, in its first `end` listener, while it can still be written
 * @returns the error of the reset; undefined if the connection was closed regularly
 *
 * @example
 * socket.prependOnceListener("end", () => resetCheck = detectReset(socket));
 */
export function detectReset(socket: Pick<Socket, "write">): Promise<Error | undefined> {
  return new Promise((resolve) => {
    socket.write("\r\n", (err) => resolve(err ?? undefined));
  });
}
