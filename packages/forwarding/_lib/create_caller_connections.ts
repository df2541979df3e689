import type { Socket } from "node:net";

/** The connections of callers that have sent a request. */
export interface CallerConnections {
  /**
   * Registers a request on its connection. Returns false if an earlier answer has announced the
   * close of the connection, so that the request must not be handled.
   */
  add(socket: Socket): boolean;
  /** Unregisters a request; during a stop, closes its connection if no other one is left on it. */
  remove(socket: Socket): void;
  /**
   * Reports whether the next answer on a connection must announce its close, which a stopping host
   * does for the only request on it. Requests behind the answer would be cut off.
   */
  shouldClose(socket: Socket): boolean;
}

/**
 * Creates the record of callers' connections, which closes idle ones when the host stops.
 *
 * Callers would otherwise send late requests on them, although the directory names other hosts.
 *
 * @param stopSignal aborted when the host starts to stop
 * @returns the record, which is empty
 */
export function createCallerConnections(stopSignal: AbortSignal): CallerConnections {
  const requestCounts = new Map<Socket, number>();
  const closing = new WeakSet<Socket>();

  stopSignal.addEventListener("abort", () => {
    for (const [socket, count] of requestCounts) if (count === 0) socket.destroySoon();
  }, { once: true });

  return {
    add(socket) {
      if (closing.has(socket)) return false;
      const count = requestCounts.get(socket);
      requestCounts.set(socket, (count ?? 0) + 1);
      if (count === undefined) socket.once("close", () => requestCounts.delete(socket));
      return true;
    },
    remove(socket) {
      const count = requestCounts.get(socket);
      if (count === undefined) return;
      requestCounts.set(socket, count - 1);
      if (stopSignal.aborted && count === 1) socket.destroySoon();
    },
    shouldClose(socket) {
      if (!stopSignal.aborted || requestCounts.get(socket) !== 1) return false;
      closing.add(socket);
      return true;
    },
  };
}
