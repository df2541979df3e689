import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ClientLimits } from "@jaypass/client_limits";
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

/** Options of {@linkcode createEndableServer}. */
export interface EndableServerOptions {
  /**
   * Aborted when the host starts to stop; answers announce the close of their connection from then on.
   */
  stopSignal: AbortSignal;
  /** Limits on clients; none by default. */
  clientLimits?: ClientLimits;
}

/** Refuses a head without end, which was not passed on. */
const HEAD_TOO_LARGE_ANSWER =
  "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/**
 * Creates a server that can end without cutting off requests.
 *
 * Its requests need no body. One that has a body is answered, and its connection is closed after the
 * answer, so that the rest of the body is not parsed.
 *
 * @param handle handles each request
 * @param options stop signal and limits
 * @returns the server
 *
 * @example
 * const { server, end } = createEndableServer((_req, res) => void res.end("ok"), { stopSignal });
 */
export function createEndableServer(
  handle: RequestHandler,
  { stopSignal, clientLimits }: EndableServerOptions,
): EndableServer {
  const answers = new Map<Socket, Set<ServerResponse>>();
  let isEnding = false;

  const endIfIdle = (socket: Socket) => {
    if (!isEnding || answers.get(socket)?.size !== 0) return;
    endConnection(socket, { lingerMs: CLOSE_LINGER_MS, lastBytes: CLOSING_ANSWER });
  };
  const limits = clientLimits?.attach({
    listAnswers: (socket) => [...answers.get(socket) ?? []],
    isEnding: () => false,
    onEndlessHead: (socket) =>
      endConnection(socket, { lingerMs: CLOSE_LINGER_MS, lastBytes: HEAD_TOO_LARGE_ANSWER }),
    close: (_socket, _reason, shut) => shut(),
  });

  const server = createServer((req, res) => {
    const { socket } = req;
    // The refusal of an idle connection answers the request.
    if (socket.writableEnded) return;
    answers.get(socket)?.add(res);
    timeouts.requestArrived(socket);
    res.once("close", () => {
      timeouts.requestEnded(socket);
      answers.get(socket)?.delete(res);
      endIfIdle(socket);
      limits?.advance(socket);
    });
    if (stopSignal.aborted || hasBody(req)) res.setHeader("Connection", "close");
    void handle(req, res);
  });
  const timeouts = createCallerTimeouts({
    clock: createClock(),
    idleTimeoutMs: () => server.keepAliveTimeout,
  });
  // Without a listener Node.js closes the connection by itself, also if a request waits unread.
  server.on("timeout", (socket) => timeouts.handleIdleTimeout(socket, () => socket.destroy()));
  server.on("connection", (socket: Socket) => {
    if (limits?.admit(socket) === false) return;
    answers.set(socket, new Set());
    socket.once("close", () => answers.delete(socket));
    // Node.js calls this after an answer that announces the close; see `endConnection`.
    socket.destroySoon = () => endConnection(socket, { lingerMs: CLOSE_LINGER_MS });
    limits?.open(socket);
  });
  return {
    server,
    async end(options) {
      await closeListener(server, options);
      isEnding = true;
      for (const socket of answers.keys()) endIfIdle(socket);
    },
    connectionCount: () => answers.size,
  };
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}
