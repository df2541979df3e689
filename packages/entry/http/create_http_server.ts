import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  CONNECTION_COST_BYTES,
  countHeadCost,
  createClientLimits,
  createHeadOverflow,
  MAX_ADDRESS_SHARE,
  MIN_HELD_MEMORY_BYTES,
} from "@jaypass/client_limits";
import type { ConnectionMemory } from "@jaypass/client_limits";
import { closeListener, createCallerTimeouts } from "@jaypass/kernel";
import { BAD_REQUEST, CLOSE_LISTENER_TIMEOUT_MS } from "../constants.ts";
import { BadRequestError } from "../errors.ts";
import { createBodyBudget } from "./create_body_budget.ts";
import { createOpenConnections } from "./create_open_connections.ts";
import { describeError } from "./describe_error.ts";
import type { HttpContext, RequestContext } from "./http_context.ts";
import { answerProtocolError, HEADER_TIMEOUT_CODE } from "./answer_protocol_error.ts";
import { handleAddresses } from "./handle_addresses.ts";
import { handleChatCompletion } from "./handle_chat_completion.ts";
import { handlePlainService } from "./handle_plain_service.ts";
import { handleRequestStatus } from "./handle_request_status.ts";
import { createBusyError } from "./read_body.ts";
import { redirectIfDataCentreOut } from "./redirect_if_data_centre_out.ts";
import { sendRefusal } from "./send_refusal.ts";

/** Handles requests below its own path prefix; returns false for any other path. */
export type MountedHandler = (req: IncomingMessage, res: ServerResponse) => Promise<boolean>;

/** Options of {@linkcode createHttpServer}. */
export interface HttpServerOptions extends HttpContext {
  /** Additional handlers, tried in order before the routes of the server itself. */
  mounted: readonly MountedHandler[];
  /** Timeouts of connections; 10 s for headers and 30 s without a request by default. */
  timeouts?: Pick<
    ServerOptions,
    "headersTimeout" | "keepAliveTimeout" | "connectionsCheckingInterval"
  >;
}

/** The HTTP server for callers and operators. */
export interface HttpServer {
  listen(): Promise<void>;
  /**
   * Accepts the connections that wait, stops accepting, and waits until running responses have ended.
   * A request that crosses the close of its connection is refused.
   */
  stop(): Promise<void>;
}

/** Timeout for receiving the headers of a request. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Idle time after which a keep-alive connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/**
 * Creates the HTTP server of an entry host.
 *
 * @param options services that its handlers use
 * @returns the server, not yet listening
 *
 * @example
 * const httpServer = createHttpServer({ settings, configuration, router, mounted: [], ... });
 * await httpServer.listen();
 */
export function createHttpServer(options: HttpServerOptions): HttpServer {
  const { settings, log, metrics } = options;
  const context: HttpContext = options;
  const { maxHeldBytes, maxConnections } = settings.limits;
  const bodies = createBodyBudget(maxHeldBytes);

  const handle = async (req: IncomingMessage, res: ServerResponse, memory: ConnectionMemory) => {
    const startMs = context.clock.nowMs();
    const headCost = countHeadCost(req);
    let reservedBytes = 0;
    // Keep-alive connections would bring new requests to a host that is draining.
    if (context.drain.isDraining()) res.shouldKeepAlive = false;
    try {
      if (!memory.tryReserveHead(headCost)) throw createBusyError();
      reservedBytes = headCost;
      await route(req, res, { ...context, bodies, memory }, options.mounted);
    } catch (err) {
      if (res.destroyed) {
        metrics.increment("caller_disconnected");
        return;
      }
      const { status, body } = describeError(err);
      metrics.increment("refusal", { reason: body.error.reason });
      if (status === 500) log.error({ err, path: req.url }, "Unexpected error; answering with 500");
      else log.debug({ reason: body.error.reason, path: req.url }, "Request refused");
      const { retryAfterMs } = body.error;
      const headers: Record<string, string> = retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.ceil(retryAfterMs / 1_000)) };
      await sendRefusal(res, body, { status, headers, limits: settings.limits });
    } finally {
      memory.releaseHead(reservedBytes);
      metrics.timing("request", context.clock.nowMs() - startMs);
    }
  };

  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    requestTimeout: 0,
    ...options.timeouts,
  }, (req, res) => {
    if (!connections.addRequest(res)) {
      // Unread bytes would reset the connection when it is closed.
      req.resume();
      return;
    }
    const { socket } = req;
    const memory = connectionLimits?.findHolder(socket);
    // The connection has been closed by a limit.
    if (memory === undefined) return;
    timeouts.requestArrived(socket);
    res.once("close", () => {
      timeouts.requestEnded(socket);
      connectionLimits?.advance(socket);
    });
    void handle(req, res, memory);
  });
  const connections = createOpenConnections();
  const timeouts = createCallerTimeouts({
    clock: context.clock,
    idleTimeoutMs: () => KEEP_ALIVE_TIMEOUT_MS,
  });
  const connectionLimits = createClientLimits({
    ...context,
    limits: {
      // Connections count as well, and must not take the room of bodies.
      heldBytes: Math.max(maxHeldBytes, MIN_HELD_MEMORY_BYTES) +
        maxConnections * CONNECTION_COST_BYTES,
      connections: maxConnections,
      addressConnections: Math.ceil(maxConnections * MAX_ADDRESS_SHARE),
    },
  })?.attach({
    listAnswers: connections.listResponses,
    isEnding: connections.isEnding,
    onEndlessHead: (socket) => answerProtocolError(createHeadOverflow(), socket, connections),
    close: (_socket, _reason, shut) => shut(),
  });
  server.on("connection", (socket) => {
    if (connectionLimits?.admit(socket) === false) return;
    connections.add(socket);
    connectionLimits?.open(socket);
  });
  // With listeners, Node.js leaves the close of connections to them.
  server.on("timeout", (socket) => timeouts.handleIdleTimeout(socket, () => socket.destroy()));
  server.on("clientError", (err: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    const answer = () => answerProtocolError(err, socket, connections);
    if (err.code !== HEADER_TIMEOUT_CODE) return answer();
    timeouts.handleHeaderTimeout(socket, answer, () => connectionLimits?.flush(socket));
  });

  return {
    listen: () => listen(server, settings.callerListen),
    async stop() {
      const closed = once(server, "close");
      const endMs = context.clock.nowMs() + CLOSE_LISTENER_TIMEOUT_MS;
      await closeListener(server, {
        clock: context.clock,
        isDue: () => context.clock.nowMs() >= endMs,
      });
      connections.closeAll();
      await closed;
    },
  };
}

async function route(
  req: IncomingMessage,
  res: ServerResponse,
  context: RequestContext,
  mounted: readonly MountedHandler[],
) {
  const url = new URL(req.url ?? "/", "http://host");
  const [version, ...path] = url.pathname.split("/").filter((part) => part !== "").map(decode);
  for (const handler of mounted) {
    if (await handler(req, res)) return;
  }
  if (version !== "v1") throw notFound(url.pathname);
  if (context.configuration.revision() === 0) throw notReady();
  const query = url.searchParams;
  const [resource, name, operation] = path;

  if (resource === "addresses" && path.length === 1) {
    requireMethod(req, "GET");
    return handleAddresses(req, res, { ...context, query });
  }
  if (resource === "requests" && name && path.length === 2) {
    requireMethod(req, "GET");
    return await handleRequestStatus(req, res, { ...context, requestId: name, query });
  }
  const isChat = resource === "chat" && name === "completions" && path.length === 2;
  const isService = resource === "services" && name && operation && path.length === 3;
  if (!isChat && !isService) throw notFound(url.pathname);
  requireMethod(req, "POST");
  if (await redirectIfDataCentreOut(req, res, context)) return;
  if (isChat) return await handleChatCompletion(req, res, context);
  await handlePlainService(req, res, { ...context, service: name!, operation: operation! });
}

function decode(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch (err) {
    throw new BadRequestError("Path is not valid percent-encoding", {
      status: 400,
      reason: BAD_REQUEST.MALFORMED,
      cause: err,
    });
  }
}

function requireMethod(req: IncomingMessage, method: string) {
  if (req.method === method) return;
  throw new BadRequestError(`Method is "${req.method}", expected "${method}"`, {
    status: 405,
    reason: BAD_REQUEST.METHOD_NOT_ALLOWED,
  });
}

function notFound(path: string): BadRequestError {
  return new BadRequestError(`Nothing is served at "${path}"`, {
    status: 404,
    reason: BAD_REQUEST.NOT_FOUND,
  });
}

function notReady(): BadRequestError {
  return new BadRequestError("Host has no configuration yet", {
    status: 503,
    reason: BAD_REQUEST.NOT_READY,
  });
}

function listen(server: Server, endpoint: string): Promise<void> {
  const [host, port] = endpoint.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
