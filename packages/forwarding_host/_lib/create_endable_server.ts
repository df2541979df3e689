import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CLOSE_LINGER_MS, CLOSING_ANSWER } from "@jaypass/forwarding";
import { closeListener, createCallerTimeouts, createClock, endConnection } from "@jaypass/kernel";
import type { CloseListenerOptions } from "@jaypass/kernel";

/** Handles a request; the answer may end later. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

/** A server that can end without cutting off requests. */
export interface EndableServer {
  /** The server, which does not listen yet. */
  server: Server;
  /**
   * Closes the listener and the idle connections, and the others after the answers to their requests.
   * An idle connection gets a refusal, which answers a request that is on its way.
   */
  end(options: CloseListenerOptions): Promise<void>;
  /** Number of open connections. */
  connectionCount(): number;
}

/**
 * Creates a server that can end without cutting off requests.
 *
 * @param handle handles each request
 * @param stopSignal aborted when the host starts to stop; answers announce the close of their
 * connection from then on
 * @returns the server
 *
 * @example
 * const { server, end } = createEndableServer((_req, res) => void res.end("ok"), stopSignal);
 */
export function createEndableServer(
  handle: RequestHandler,
  stopSignal: AbortSignal,
): EndableServer {
  const requestCounts = new Map<Socket, number>();
  let isEnding = false;

  const endIfIdle = (socket: Socket) => {
    if (!isEnding || requestCounts.get(socket) !== 0) return;
    endConnection(socket, { lingerMs: CLOSE_LINGER_MS, lastBytes: CLOSING_ANSWER });
  };
  const addRequests = (socket: Socket, count: number) => {
    const before = requestCounts.get(socket);
    if (before !== undefined) requestCounts.set(socket, before + count);
  };

  const server = createServer((req, res) => {
    const { socket } = req;
    // The refusal of an idle connection answers the request.
    if (socket.writableEnded) return;
    addRequests(socket, 1);
    timeouts.requestArrived(socket);
    res.once("close", () => {
      timeouts.requestEnded(socket);
      addRequests(socket, -1);
      endIfIdle(socket);
    });
    if (stopSignal.aborted) res.setHeader("Connection", "close");
    void handle(req, res);
  });
  const timeouts = createCallerTimeouts({
    clock: createClock(),
    idleTimeoutMs: () => server.keepAliveTimeout,
  });
  // Without a listener Node.js closes the connection by itself, also if a request waits unread.
  server.on("timeout", (socket) => timeouts.handleIdleTimeout(socket, () => socket.destroy()));
  server.on("connection", (socket: Socket) => {
    requestCounts.set(socket, 0);
    socket.once("close", () => requestCounts.delete(socket));
    // Node.js calls this after an answer that announces the close; see `endConnection`.
    socket.destroySoon = () => endConnection(socket, { lingerMs: CLOSE_LINGER_MS });
  });
  return {
    server,
    async end(options) {
      await closeListener(server, options);
      isEnding = true;
      for (const socket of requestCounts.keys()) endIfIdle(socket);
    },
    connectionCount: () => requestCounts.size,
  };
}
