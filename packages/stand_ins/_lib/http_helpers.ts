import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** An HTTP server that can break all connections and come back on the same port. */
export interface RestartableServer {
  port: number;
  /** Sockets that are open now. */
  sockets: Set<Socket>;
  /** Breaks all connections and refuses new ones for a time. */
  restart(afterMs: number): void;
  stop(): Promise<void>;
}

/** Starts an HTTP server; `handle` is called for each request. */
export async function startServer(
  handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
  options: { host: string; port: number },
): Promise<RestartableServer> {
  const sockets = new Set<Socket>();
  let port = options.port;
  let isStopped = false;
  let server: Server;
  let restartTimer: NodeJS.Timeout | undefined;
  const open = () =>
    new Promise<void>((resolve, reject) => {
      server = createServer((req, res) => {
        handle(req, res).catch((err) => {
          if (!res.headersSent) sendJson(res, 500, { error: { code: "internal", ran: "unknown" } });
          else res.destroy(err);
        });
      });
      // Above the time after which clients close idle connections, so that only faults race.
      server.keepAliveTimeout = 15_000;
      server.on("connection", (socket) => {
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => {});
        socket.on("close", () => sockets.delete(socket));
      });
      server.on("error", reject);
      server.listen(port, options.host, () => {
        port = (server.address() as AddressInfo).port;
        resolve();
      });
    });
  const close = () => {
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  };
  await open();
  return {
    get port() {
      return port;
    },
    sockets,
    restart(afterMs) {
      close();
      clearTimeout(restartTimer);
      restartTimer = setTimeout(() => {
        if (!isStopped) open().catch((err) => process.emitWarning(err as Error));
      }, afterMs);
    },
    stop() {
      isStopped = true;
      clearTimeout(restartTimer);
      return new Promise((resolve) => {
        if (!server.listening) return resolve();
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      });
    },
  };
}

/** Reads a whole request body. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Sends a JSON answer. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}

/** Keeps which connections have gone silent: nothing is written to them any more. */
export function createSilentConnections(sockets: () => Set<Socket>) {
  const silent = new WeakSet<Socket>();
  let isAllSilent = false;
  const silenceSocket = (socket: Socket) => {
    silent.add(socket);
    // An idle timeout would close the connection and so end its silence.
    socket.setTimeout(0);
    socket.removeAllListeners("timeout");
  };
  return {
    set(mode: "none" | "open" | "all") {
      isAllSilent = mode === "all";
      if (mode !== "none") { for (const socket of sockets()) silenceSocket(socket); }
    },
    isSilent(socket: Socket | null) {
      if (socket && isAllSilent && !silent.has(socket)) silenceSocket(socket);
      return socket !== null && silent.has(socket);
    },
  };
}
