import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The connections of callers that have sent a request. */
export interface CallerConnections {
  /**
   * Registers a request, by its answer, on its connection. Returns false if the connection is to be
   * closed after an earlier answer, so that the request must not be handled.
   */
  add(res: ServerResponse, socket: Socket): boolean;
  /**
   * Unregisters a request; closes its connection if that is due and no other answer is to be sent on
   * it.
   */
  remove(res: ServerResponse, socket: Socket): void;
  /** Lists the answers to the requests in progress on a connection. */
  listAnswers(socket: Socket): ServerResponse[];
  /**
   * Has a connection closed after the answers to the whole requests in progress on it, and those that
   * have ended. Must be called only if no further request can be read from it.
   */
  closeAfterAnswers(socket: Socket): void;
  /** Reports whether a connection is to be closed after the answers to its requests in progress. */
  isEnding(socket: Socket): boolean;
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
  const answersBySocket = new Map<Socket, Set<ServerResponse>>();
  const closing = new WeakSet<Socket>();
  const ending = new WeakSet<Socket>();

  stopSignal.addEventListener("abort", () => {
    for (const [socket, { size }] of answersBySocket) if (size === 0) socket.destroySoon();
  }, { once: true });

  return {
    add(res, socket) {
      if (closing.has(socket) || ending.has(socket)) return false;
      const answers = answersBySocket.get(socket);
      if (answers === undefined) {
        answersBySocket.set(socket, new Set([res]));
        socket.once("close", () => answersBySocket.delete(socket));
      } else answers.add(res);
      return true;
    },
    remove(res, socket) {
      const answers = answersBySocket.get(socket);
      if (answers === undefined) return;
      answers.delete(res);
      const isDue = ending.has(socket)
        ? ![...answers].some(({ req, writableEnded }) => req.complete || writableEnded)
        : stopSignal.aborted && answers.size === 0;
      if (isDue) socket.destroySoon();
    },
    listAnswers: (socket) => [...answersBySocket.get(socket) ?? []],
    closeAfterAnswers: (socket) => void ending.add(socket),
    isEnding: (socket) => ending.has(socket),
    shouldClose(socket) {
      const isDue = stopSignal.aborted || ending.has(socket);
      if (!isDue || answersBySocket.get(socket)?.size !== 1) return false;
      closing.add(socket);
      return true;
    },
  };
}
