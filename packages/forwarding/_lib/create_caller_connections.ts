import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { endConnection } from "@jaypass/kernel";
import { CLOSE_REASON } from "../types.ts";
import type { CloseReason } from "../types.ts";
import { CLOSE_LINGER_MS, CLOSING_ANSWER } from "../constants.ts";
import { chooseConnectionStep, CONNECTION_STEP } from "./choose_connection_step.ts";
import type { ConnectionCloser } from "./create_connection_closer.ts";

/** The connections of callers. */
export interface CallerConnections {
  /** Registers a connection that was accepted. */
  accept(socket: Socket): void;
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
  closeAfterAnswers(socket: Socket, reason: CloseReason): void;
  /** Reports whether a connection is to be closed after the answers to its requests in progress. */
  isEnding(socket: Socket): boolean;
  /**
   * Reports whether the next answer on a connection must announce its close, which a stopping host
   * does for the only request on it. Requests behind the answer would be cut off.
   */
  shouldClose(socket: Socket): boolean;
  /**
   * Closes the connections without a request in progress, each with a refusal of a request that may
   * be on its way, and the others when they have none any more. Must be called only once further
   * connections are refused.
   */
  closeForExit(): void;
}

/**
 * Creates the record of callers' connections.
 *
 * A host that starts to stop leaves idle connections open, since a request may be on its way on each
 * of them. The next answer announces the close. Those that are still idle at the exit are closed with
 * a refusal.
 *
 * @param stopSignal aborted when the host starts to stop
 * @param closer closes the connections
 * @returns the record, which is empty
 */
export function createCallerConnections(
  stopSignal: AbortSignal,
  closer: ConnectionCloser,
): CallerConnections {
  const answersBySocket = new Map<Socket, Set<ServerResponse>>();
  const closing = new WeakSet<Socket>();
  const ending = new WeakMap<Socket, CloseReason>();
  let isExiting = false;

  const closeIfDue = (socket: Socket) => {
    const answers = [...answersBySocket.get(socket) ?? []];
    const reason = ending.get(socket);
    const step = chooseConnectionStep({
      requests: answers.length,
      wholeRequests: answers.filter(({ req, writableEnded }) => req.complete || writableEnded)
        .length,
      isCloseAnnounced: closing.has(socket),
      isUnreadable: reason !== undefined,
      isExiting,
    });
    if (step === CONNECTION_STEP.KEEP) return;
    closing.add(socket);
    const lastBytes = step === CONNECTION_STEP.REFUSE ? CLOSING_ANSWER : "";
    closer.close(
      socket,
      reason ?? CLOSE_REASON.EXIT,
      () => endConnection(socket, { lingerMs: CLOSE_LINGER_MS, lastBytes }),
    );
  };
  const accept = (socket: Socket) => {
    const answers = new Set<ServerResponse>();
    answersBySocket.set(socket, answers);
    socket.once("close", () => {
      answersBySocket.delete(socket);
      for (const res of answers) abandonAnswer(res);
    });
    return answers;
  };

  return {
    accept: (socket) => void accept(socket),
    add(res, socket) {
      if (closing.has(socket) || ending.has(socket) || socket.writableEnded) {
        closer.skip(socket);
        return false;
      }
      closer.begin(res.req);
      (answersBySocket.get(socket) ?? accept(socket)).add(res);
      return true;
    },
    remove(res, socket) {
      closer.end(res, socket);
      answersBySocket.get(socket)?.delete(res);
      // Node.js closes the connection after such an answer, whose body may end with the connection.
      if (!res.shouldKeepAlive) closing.add(socket);
      closeIfDue(socket);
    },
    listAnswers: (socket) => [...answersBySocket.get(socket) ?? []],
    closeAfterAnswers: (socket, reason) => void ending.set(socket, reason),
    isEnding: (socket) => ending.has(socket),
    shouldClose(socket) {
      const isDue = stopSignal.aborted || ending.has(socket);
      if (!isDue || answersBySocket.get(socket)?.size !== 1) return false;
      closing.add(socket);
      return true;
    },
    closeForExit() {
      isExiting = true;
      for (const socket of answersBySocket.keys()) closeIfDue(socket);
    },
  };
}

/**
 * Ends an answer whose connection has closed. Node.js reports the close only to the first answer on a
 * connection, and those behind it would be waited for without end.
 */
function abandonAnswer(res: ServerResponse): void {
  if (res.closed || res.socket !== null) return;
  res.destroy();
  res.emit("close");
}
