import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { RAN } from "@jaypass/idempotency";
import { endConnection } from "@jaypass/kernel";
import { BAD_REQUEST, CLOSE_LINGER_MS } from "../constants.ts";

/** The open connections of callers and the requests in progress on them. */
export interface OpenConnections {
  /** Registers a connection until it is closed. */
  add(socket: Socket): void;
  /**
   * Registers a request, by its response, until that has left or its connection is closed. Returns
   * false if its connection has been closed with a refusal, so that it must not be handled.
   */
  addRequest(res: ServerResponse): boolean;
  /** Lists the responses to the requests in progress on a connection. */
  listResponses(socket: Socket): ServerResponse[];
  /** Reports whether a connection is closed after its requests in progress. */
  isEnding(socket: Socket): boolean;
  /** Reports whether a request that has been received completely is in progress on a connection. */
  hasWholeRequest(socket: Socket): boolean;
  /** Reports whether the status of a response has been sent on a connection whose request is in progress. */
  hasBegunResponse(socket: Socket): boolean;
  /** Closes a connection once no whole request is in progress on it. */
  closeAfterRequests(socket: Socket): void;
  /**
   * Closes the connections without a request in progress, each with a refusal of a request that may
   * be on its way, and the others when they have none any more.
   */
  closeAll(): void;
}

/**
 * Refuses a request that crosses the close of its connection. Its status may be sent without a request
 * (RFC 9110, section 15.5.9).
 */
const CLOSING_ANSWER = formatClosingAnswer();

/**
 * Creates the record of a server's connections.
 *
 * @returns the record, which is empty
 *
 * @example
 * server.on("connection", (socket) => connections.add(socket));
 */
export function createOpenConnections(): OpenConnections {
  const responses = new Map<Socket, Set<ServerResponse>>();
  const ending = new WeakSet<Socket>();
  let isClosing = false;

  const hasWholeRequest = (socket: Socket) =>
    [...responses.get(socket) ?? []].some(({ req }) => req.complete);

  const closeIfIdle = (socket: Socket) => {
    if (responses.get(socket)?.size !== 0) return;
    endConnection(socket, { lingerMs: CLOSE_LINGER_MS, lastBytes: CLOSING_ANSWER });
  };

  return {
    add(socket) {
      responses.set(socket, new Set());
      socket.once("close", () => void responses.delete(socket));
    },
    addRequest(res) {
      const { socket } = res.req;
      if (socket.writableEnded) return false;
      responses.get(socket)?.add(res);
      res.once("close", () => {
        responses.get(socket)?.delete(res);
        if (ending.has(socket) && !hasWholeRequest(socket)) socket.destroySoon();
        else if (isClosing) closeIfIdle(socket);
      });
      return true;
    },
    listResponses: (socket) => [...responses.get(socket) ?? []],
    isEnding: (socket) => ending.has(socket),
    hasWholeRequest,
    hasBegunResponse: (socket) =>
      [...responses.get(socket) ?? []].some(({ headersSent }) => headersSent),
    closeAfterRequests(socket) {
      ending.add(socket);
      if (!hasWholeRequest(socket)) socket.destroySoon();
    },
    closeAll() {
      isClosing = true;
      for (const socket of responses.keys()) closeIfIdle(socket);
    },
  };
}

function formatClosingAnswer(): string {
  const body = JSON.stringify({
    error: { message: "Host is stopping", reason: BAD_REQUEST.STOPPING, ran: RAN.NOT_RUN },
  });
  return "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n" +
    `Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`;
}
