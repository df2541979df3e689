import { createHash } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { countHeadCost, countHeaderBytes, createHeadOverflow } from "@jaypass/client_limits";
import type { ConnectionLimits, ConnectionMemory, MemoryBudget } from "@jaypass/client_limits";
import { createCallerTimeouts } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import {
  DEFAULT_IDLE_TIMEOUT_MS,
  MAX_BUFFERED_BODY_BYTES,
  MAX_UNREAD_BODY_BYTES,
  NO_CONFIGURATION_RETRY_AFTER_MS,
} from "./constants.ts";
import { chooseTarget } from "./choose_target.ts";
import { FAILURE, ForwardingError } from "./errors.ts";
import { createStoppingError } from "./_lib/attempt_errors.ts";
import { breakOff } from "./_lib/break_off.ts";
import { createAnswerMemory } from "./_lib/create_answer_memory.ts";
import type { AnswerMemory } from "./_lib/create_answer_memory.ts";
import { createBodyMemoryBudget, createBodyMemoryError } from "./_lib/create_body_memory_budget.ts";
import { handleProtocolError } from "./_lib/handle_protocol_error.ts";
import { handleTunnelRequest } from "./_lib/handle_tunnel_request.ts";
import { readBody } from "./_lib/read_body.ts";
import type { CallerRequest, ForwardingContext } from "./_lib/request_context.ts";
import { runAttempts } from "./_lib/run_attempts.ts";
import { runUntilExit } from "./_lib/run_until_exit.ts";
import { sendContinue } from "./_lib/send_continue.ts";
import { sendFailure } from "./_lib/send_failure.ts";
import { startEndTimer } from "./_lib/start_end_timer.ts";
import { canTakeRequest, findStopNeed } from "./_lib/stop_limit.ts";
import type { StopNeed } from "./_lib/stop_limit.ts";
import { createConnectionCloser } from "./_lib/create_connection_closer.ts";
import type { ConnectionCloser, ConnectionCounts } from "./_lib/create_connection_closer.ts";
import { createCallerConnections } from "./_lib/create_caller_connections.ts";
import type { CallerConnections } from "./_lib/create_caller_connections.ts";
import { createPlainHandler } from "./_lib/create_plain_handler.ts";
import { createStopMonitor } from "./_lib/create_stop_monitor.ts";
import type { MonitoredRequest, StopMonitor } from "./_lib/create_stop_monitor.ts";
import { createStreamHandler } from "./_lib/create_stream_handler.ts";
import { waitForDelivery } from "./_lib/wait_for_delivery.ts";
import { matchRoute } from "./match_route.ts";
import { CLOSE_REASON, ROUTE_KIND } from "./types.ts";
import type { CallerMetadata, Configuration, Route } from "./types.ts";

/** Forwards requests of callers to backend servers. */
export interface Forwarder {
  /** Answers one request; never rejects, and resolves when the answer has left the process. */
  handle(req: IncomingMessage, res: ServerResponse): Promise<void>;
  /**
   * Answers one request that expects status 100 before it sends its body, as the event `checkContinue`
   * reports it; never rejects.
   */
  handleExpecting(req: IncomingMessage, res: ServerResponse): Promise<void>;
  /**
   * Registers a caller's connection, as the event `connection` reports it; closes it if too many are
   * open.
   */
  accept(socket: Socket): void;
  /**
   * Refuses the request on a caller's connection, which was accepted in the exit of the host. What
   * comes on it is discarded, so that the refusal is true.
   */
  refuse(socket: Socket): void;
  /** Handles an error on a caller's connection, as the event `clientError` reports it. */
  handleProtocolError(err: Error, socket: Socket): void;
  /** Handles a request for a tunnel on a caller's connection, as the event `connect` reports it. */
  handleTunnelRequest(socket: Socket): void;
  /** Handles the end of a connection's idle time, as the event `timeout` reports it. */
  handleIdleTimeout(socket: Socket): void;
  /** Number of requests in progress. */
  size(): number;
  /** Numbers of open connections of callers. */
  connectionCounts(): ConnectionCounts;
  /**
   * Logs the requests in progress, whose answers go on after the exit of the host until its forced end.
   * Answers in HTTP/1.0 are cut off, since they would look complete then.
   */
  continueAfterExit(): void;
  /**
   * Logs and counts the requests in progress as cut off, for a stopping host that exits now, and
   * closes their connections, so that no answer looks complete.
   */
  cutOff(): void;
  /**
   * Closes the connections of callers that have no request in progress, and the others when their
   * answers have left, for a stopping host that refuses further connections. A request that crosses
   * the close is refused.
   */
  endConnections(): void;
  /** Closes all connections of callers at once, for a host that exits now. */
  closeConnections(): void;
}

/** Route, target service and workspace of an authorized request. */
interface ResolvedRequest {
  metadata: CallerMetadata;
  configuration: Configuration;
  route: Route;
  service: string;
  workspace: string | undefined;
  /** Time from the arrival to the deadline, which the route or the caller sets. */
  timeoutMs: Millis;
  /** Times that a stopping host counts with; undefined if it does not limit the request. */
  stopNeed: StopNeed | undefined;
}

/** Length of a fingerprint, by which repeats of the same request are recognized. */
const FINGERPRINT_HEX_DIGITS = 16;

/**
 * Creates the forwarder of a host.
 *
 * @param context services of the host that forwarding uses
 * @returns the forwarder
 *
 * @example
 * const forwarder = createForwarder(context);
 * createServer((req, res) => void forwarder.handle(req, res));
 */
export function createForwarder(context: ForwardingContext): Forwarder {
  const memory = createBodyMemoryBudget(MAX_BUFFERED_BODY_BYTES);
  const closer = createConnectionCloser(context);
  const connections = createCallerConnections(context.stop.signal, closer);
  const timeouts = createCallerTimeouts({
    clock: context.clock,
    idleTimeoutMs: () => context.configuration()?.limits.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
  });
  // Node.js would warn of a leak, as each request adds listeners, which it removes later.
  setMaxListeners(0, context.stop.signal, context.stop.exit);
  const monitor = createStopMonitor({ ...context, stopTime: () => context.stop.time(), closer });
  let size = 0;
  const protocolError = (err: Error, socket: Socket) =>
    handleProtocolError(context, { connections, closer }, err, socket);
  const limits: ConnectionLimits | undefined = context.clientLimits?.attach({
    listAnswers: connections.listAnswers,
    isEnding: connections.isEnding,
    onEndlessHead: (socket) => protocolError(createHeadOverflow(), socket),
    close: closer.close,
  });

  /** A request that waits unread would be cut off by the close, like one that was read. */
  const shouldClose = (socket: Socket) =>
    limits?.hasNext(socket) !== true && connections.shouldClose(socket);

  const serve = async (
    req: IncomingMessage,
    res: ServerResponse,
    monitored: MonitoredRequest,
    { arrivalMs, headBytes }: { arrivalMs: Millis; headBytes: number | undefined },
  ) => {
    const holder = limits?.findHolder(req.socket);
    const headCost = holder === undefined ? 0 : countHeadCost(req);
    if (holder?.tryReserveHead(headCost) === false) throw createBodyMemoryError();
    let pinnedBytes = 0;
    let isHeadPinned = false;
    try {
      const resolved = resolveRequest(context, req, {
        arrivalMs,
        headBytes: headBytes ?? countHeaderBytes(req),
        otherRequests: size - 1,
      });
      monitor.accepted(monitored, resolved.route.name, resolved.stopNeed);
      const body = await readBody(req, {
        maxBytes: resolved.configuration.limits.maxBodyBytes,
        memory: holder ?? memory,
      });
      // What a server has is not given up for the sake of others.
      pinnedBytes = body.length;
      holder?.pin(pinnedBytes);
      holder?.pinHead(headCost);
      isHeadPinned = true;
      const answerMemory = createAnswerMemory(holder, (reason) => limits?.count(reason));
      try {
        await forward(context, {
          req,
          res,
          holder,
          answerMemory,
          resolved,
          body,
          arrivalMs,
          monitored,
          shouldClose: () => shouldClose(req.socket),
        });
      } finally {
        answerMemory.close();
        releaseBody(holder ?? memory, body);
      }
    } finally {
      holder?.pin(-pinnedBytes);
      if (isHeadPinned) holder?.pinHead(-headCost);
      holder?.releaseHead(headCost);
    }
  };

  const handle = async (
    req: IncomingMessage,
    res: ServerResponse,
    prepare: () => Promise<void> = () => Promise.resolve(),
  ) => {
    const { socket } = req;
    if (!connections.add(res, socket)) {
      // Unread bytes would reset the connection when it is closed.
      req.resume();
      return;
    }
    // A request may have waited unread behind another one; its deadline counts that time.
    const head = limits?.readHead(socket);
    const arrivalMs = head?.arrivalMs ?? context.clock.nowMs();
    timeouts.requestArrived(socket);
    size += 1;
    const monitored = monitor.add(req, res);
    try {
      await runUntilExit(
        prepare().then(() => serve(req, res, monitored, { arrivalMs, headBytes: head?.bytes })),
        {
          exit: context.stop.exit,
          findError: () => res.headersSent ? undefined : createStoppingError(monitored.attempts),
        },
      );
    } catch (err) {
      await answerWithFailure(context, {
        req,
        res,
        err,
        monitor,
        monitored,
        connections,
        closer,
        shouldClose: () => shouldClose(socket),
      });
    }
    await waitForDelivery(res);
    size -= 1;
    monitor.remove(monitored);
    timeouts.requestEnded(socket);
    connections.remove(res, socket);
    limits?.advance(socket);
  };

  return {
    handle: (req, res) => handle(req, res),
    async handleExpecting(req, res) {
      const previous = connections.listAnswers(req.socket).at(-1);
      await handle(req, res, () => sendContinue(res, previous));
    },
    accept(socket) {
      if (limits?.admit(socket) === false) return;
      closer.accept(socket);
      connections.accept(socket);
      limits?.open(socket);
    },
    refuse: (socket) => closer.refuse(socket),
    handleIdleTimeout: (socket) =>
      timeouts.handleIdleTimeout(
        socket,
        () => closer.close(socket, CLOSE_REASON.IDLE_TIMEOUT, () => socket.destroy()),
      ),
    handleProtocolError(err, socket) {
      if (!isHeaderTimeout(err)) return protocolError(err, socket);
      timeouts.handleHeaderTimeout(
        socket,
        () => protocolError(err, socket),
        () => limits?.flush(socket),
      );
    },
    handleTunnelRequest: (socket) => handleTunnelRequest({ connections, closer }, socket),
    size: () => size,
    connectionCounts: () => closer.counts(),
    continueAfterExit: () => monitor.continueAfterExit(),
    cutOff: () => monitor.cutOff(),
    endConnections: () => connections.closeForExit(),
    closeConnections: () => closer.closeAll(),
  };
}

function isHeaderTimeout({ code }: NodeJS.ErrnoException): boolean {
  return code === "ERR_HTTP_REQUEST_TIMEOUT";
}

function releaseBody(memory: Pick<MemoryBudget, "release">, body: Buffer): void {
  memory.release(body.length);
}

/**
 * Resolves the route, workspace and target service of a request.
 *
 * The checks come in the order in which the host can state their result truthfully: an unknown
 * route or key can be reported only with a configuration, and a stopping host still reports both.
 */
function resolveRequest(
  context: ForwardingContext,
  req: IncomingMessage,
  { arrivalMs, headBytes, otherRequests }: {
    arrivalMs: Millis;
    headBytes: number;
    otherRequests: number;
  },
): ResolvedRequest {
  const configuration = context.configuration();
  if (configuration === undefined) {
    throw new ForwardingError(503, FAILURE.NO_CONFIGURATION, {
      retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS,
    });
  }
  if (headBytes > configuration.limits.maxHeaderBytes) {
    throw new ForwardingError(431, FAILURE.HEADERS_TOO_LARGE);
  }
  const route = matchRoute(configuration, req.headers.host, req.url ?? "/");
  if (route === undefined) throw new ForwardingError(404, FAILURE.UNKNOWN_ROUTE);
  const metadata = context.codec.readCaller(req.rawHeaders);
  const workspace = findWorkspace(configuration, route, metadata);
  const service = chooseTarget(route, context.random);
  if (service === undefined) throw new ForwardingError(503, FAILURE.NO_SERVER);
  const timeoutMs = Math.min(route.timeoutMs, metadata.deadlineMs ?? route.timeoutMs);
  const receivedMs = context.clock.nowMs();
  const stoppable = { endMs: arrivalMs + timeoutMs, metadata, receivedMs, route, service };
  if (!canTakeRequest(context, stoppable, otherRequests)) {
    throw new ForwardingError(503, FAILURE.STOPPING, { retryAfterMs: 0 });
  }
  const stopNeed = findStopNeed(context, stoppable);
  return { metadata, configuration, route, service, workspace, timeoutMs, stopNeed };
}

function findWorkspace(
  configuration: Configuration,
  route: Route,
  metadata: CallerMetadata,
): string | undefined {
  if (route.isPublic || configuration.workspaceByKey === undefined) return undefined;
  const workspace = configuration.workspaceByKey.get(metadata.key ?? "");
  if (workspace === undefined) throw new ForwardingError(401, FAILURE.UNKNOWN_KEY);
  return workspace;
}

interface ForwardOptions {
  req: IncomingMessage;
  res: ServerResponse;
  holder: ConnectionMemory | undefined;
  answerMemory: AnswerMemory;
  resolved: ResolvedRequest;
  body: Buffer;
  arrivalMs: Millis;
  monitored: MonitoredRequest;
  shouldClose: () => boolean;
}

async function forward(context: ForwardingContext, options: ForwardOptions): Promise<void> {
  const { req, res, holder, answerMemory, resolved, body, arrivalMs, monitored, shouldClose } =
    options;
  const { metadata, route, service, workspace, timeoutMs } = resolved;
  const controller = new AbortController();
  let receivedCount = 0;
  const remainingMs = arrivalMs + timeoutMs - context.clock.nowMs();
  const cancelEnd = startEndTimer(remainingMs, {
    countReceived: () => receivedCount,
    onEnd: () => controller.abort(),
  });
  const onClose = () => controller.abort();
  res.once("close", onClose);
  // The deadline may have passed, or the caller disconnected, while the body was awaited.
  if (remainingMs <= 0 || res.destroyed || req.socket.destroyed) controller.abort();
  const { exit } = context.stop;
  // A request that is refused at the exit must not be sent afterwards.
  const onExit = () => {
    if (!res.headersSent) controller.abort();
  };
  // Refused while its body was read, so that its answer may have been sent already.
  if (exit.aborted) controller.abort();
  else exit.addEventListener("abort", onExit, { once: true });
  const request: CallerRequest = {
    id: metadata.attemptId ?? createLocalId(context),
    method: req.method ?? "GET",
    target: req.url ?? "/",
    headers: req.rawHeaders,
    body,
    metadata,
    route,
    service,
    workspace,
    fingerprint: computeFingerprint(req, metadata, body),
    arrivalMs,
    receivedMs: context.clock.nowMs(),
    endMs: arrivalMs + timeoutMs,
    endFailure: timeoutMs < route.timeoutMs ? FAILURE.DEADLINE : FAILURE.ROUTE_TIMEOUT,
    signal: controller.signal,
    res,
    holder,
    answerMemory,
    shouldClose,
    onReceived: () => void (receivedCount += 1),
    onAttempts: (state) => void (monitored.attempts = state),
  };
  const handler = route.kind === ROUTE_KIND.STREAMING
    ? createStreamHandler(context, request)
    : createPlainHandler(context, request);
  try {
    await runAttempts(context, request, handler);
    context.metrics.increment("answer", { route: route.name });
    context.metrics.timing("answer_ms", context.clock.nowMs() - arrivalMs, { route: route.name });
  } finally {
    cancelEnd();
    res.removeListener("close", onClose);
    exit.removeEventListener("abort", onExit);
  }
}

function createLocalId(context: ForwardingContext): string {
  return `local-${Math.floor(context.random() * Number.MAX_SAFE_INTEGER).toString(36)}`;
}

function computeFingerprint(req: IncomingMessage, metadata: CallerMetadata, body: Buffer): string {
  return createHash("sha1").update(`${req.url}\n${metadata.key ?? ""}\n`).update(body).digest("hex")
    .slice(0, FINGERPRINT_HEX_DIGITS);
}

/**
 * Answers with a failure, or closes the connection if an answer has been started already or the failure
 * cannot be sent; never rejects.
 */
async function answerWithFailure(
  context: ForwardingContext,
  { req, res, err, monitor, monitored, connections, closer, shouldClose }: {
    req: IncomingMessage;
    res: ServerResponse;
    err: unknown;
    monitor: StopMonitor;
    monitored: MonitoredRequest;
    connections: CallerConnections;
    closer: ConnectionCloser;
    shouldClose: () => boolean;
  },
): Promise<void> {
  const failure = err instanceof ForwardingError
    ? err
    : new ForwardingError(502, FAILURE.INTERNAL, { cause: err });
  const requestId = context.codec.readCaller(req.rawHeaders).attemptId;
  const fields = {
    requestId,
    status: failure.status,
    reason: failure.reason,
    configuration: context.configuration()?.version,
    hasBegun: res.headersSent,
    hasCallerLeft: res.destroyed,
    ...monitor.describe(monitored),
    err: failure.cause,
  };
  if (failure.reason === FAILURE.INTERNAL) context.log.error(fields, "Request failed");
  else context.log.info(fields, "Request not served");
  context.metrics.increment("refusal", { reason: failure.reason });
  if (failure.reason === FAILURE.STOPPING) {
    if (failure.status === 503) monitor.refused();
    else monitor.failed();
  }
  if (res.destroyed) return;
  if (res.headersSent) {
    breakOff(closer, res);
    return;
  }
  try {
    await sendFailure(context, req, res, failure, {
      shouldClose: shouldClose(),
      // A body that was within the limit when its caller sent it may be over it now.
      maxUnreadBytes: Math.max(
        context.configuration()?.limits.maxBodyBytes ?? 0,
        MAX_UNREAD_BODY_BYTES,
      ),
      closeAfterAnswers: () => connections.closeAfterAnswers(req.socket, CLOSE_REASON.REFUSED_BODY),
    });
  } catch (err) {
    context.log.error({ requestId, err }, "Failure cannot be sent; closing the connection");
    breakOff(closer, res);
  }
}
