import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { computeHostLimits, createClientLimits } from "@jaypass/client_limits";
import type { ClientLimits } from "@jaypass/client_limits";
import { closeListener } from "@jaypass/kernel";
import type { ServiceDefinition } from "@jaypass/kernel";
import {
  createForwarder,
  createHedging,
  createJobIds,
  DEFAULT_IDLE_TIMEOUT_MS,
} from "@jaypass/forwarding";
import type { Forwarder } from "@jaypass/forwarding";
import { CONNECTION_CHECK_MS, DIRECTORY_TTL_MS, MAX_HEADER_BYTES } from "./constants.ts";
import { createReservations } from "./create_reservations.ts";
import { createServerCheck } from "./create_server_check.ts";
import type { HostContext } from "./host_context.ts";
import { createEndableServer } from "./_lib/create_endable_server.ts";
import type { EndableServer, RequestHandler } from "./_lib/create_endable_server.ts";
import { createGradualLimit } from "./_lib/create_gradual_limit.ts";
import { listen } from "./_lib/listen.ts";
import { chooseAddresses } from "./choose_addresses.ts";
import { SERVICE } from "./service_names.ts";
import type { Cluster, PublicServers } from "./service_names.ts";
import type { StopState } from "./create_stop_state.ts";

/**
 * Defines the limits on clients, which all servers of the host share.
 *
 * @param context settings, clock, log and metrics
 * @returns the definition, whose service is undefined if the settings state no machine
 */
export function defineClientLimits(
  { settings, clock, log, metrics }: HostContext,
): ServiceDefinition<ClientLimits | undefined> {
  return {
    name: SERVICE.CLIENT_LIMITS,
    needs: [],
    start() {
      const { machine } = settings;
      if (machine === undefined) return { service: undefined };
      const limits = computeHostLimits(machine);
      return { service: createClientLimits({ limits, clock, log, metrics }) };
    },
  };
}

/**
 * Defines the service that forwards requests.
 *
 * @param context settings, platform adapter, clock, log and metrics
 * @returns the definition
 */
export function defineForwarderService(context: HostContext): ServiceDefinition<Forwarder> {
  const { adapter, settings, clock, random, log, metrics } = context;
  return {
    name: SERVICE.FORWARDER,
    needs: [SERVICE.TASKS, SERVICE.STOP_STATE, SERVICE.CLUSTER, SERVICE.CLIENT_LIMITS],
    start(lookup) {
      const { view, placement, notices } = lookup(SERVICE.CLUSTER);
      const stop = lookup(SERVICE.STOP_STATE);
      const forwarder = createForwarder({
        clock,
        random,
        createJobId: createJobIds(random),
        log,
        metrics,
        codec: adapter.codec,
        configuration: () => view.configuration(),
        findServer: (id) => view.findServer(id),
        listServers: (service) =>
          view.usableServers().filter((server) => server.service === service),
        findServerAt: (address) => view.findServerAt(address),
        checkServer: createServerCheck({
          reports: adapter.reports,
          clock,
          log,
          hasStatus: (service) => view.configuration()?.services.get(service)?.engine !== undefined,
        }),
        notices,
        placement,
        reservations: createReservations({
          engineMemory: adapter.engineMemory,
          clock,
          log,
          tasks: lookup(SERVICE.TASKS),
        }),
        hedging: createHedging({ clock, limits: () => settings.hedge }),
        stop,
        clientLimits: lookup(SERVICE.CLIENT_LIMITS),
        readsAnswersOn: settings.readsAnswersOn,
      });
      return { service: forwarder };
    },
  };
}

/**
 * Defines the service that serves callers, readiness checks, the directory and metrics over HTTP.
 *
 * @param context settings, platform adapter, clock, log and metrics
 * @returns the definition
 */
export function definePublicServers(context: HostContext): ServiceDefinition<PublicServers> {
  const { settings, clock } = context;
  return {
    name: SERVICE.PUBLIC_SERVERS,
    needs: [
      SERVICE.STOP_STATE,
      SERVICE.CLUSTER,
      SERVICE.CLIENT_LIMITS,
      SERVICE.FORWARDER,
    ],
    async start(lookup) {
      const cluster = lookup(SERVICE.CLUSTER);
      const stop = lookup(SERVICE.STOP_STATE);
      const clientLimits = lookup(SERVICE.CLIENT_LIMITS);
      const forwarder = lookup(SERVICE.FORWARDER);
      const callerServer = createCallerServer(context, cluster, forwarder);
      const create = (handle: RequestHandler) =>
        createEndableServer(handle, { stopSignal: stop.signal, clientLimits });
      const readiness = create(createReadinessHandler(context, cluster, stop));
      const directory = create(createDirectoryHandler(context, cluster));
      const metrics = create(createMetricsHandler(context));
      const endable: EndableServer[] = [readiness, directory, metrics];
      const servers: [Server, string | undefined][] = [
        [callerServer, settings.callerAddress],
        [readiness.server, settings.readinessAddress],
        [directory.server, settings.directoryAddress],
        [metrics.server, settings.metricsAddress],
      ];
      for (const [server, address] of servers) {
        if (address !== undefined) await listen(server, address);
      }
      return {
        service: {
          stopListening: (isDue) =>
            closeListener(callerServer, { clock, isDue, refuse: forwarder.refuse }),
          async endOthers(isDue) {
            await Promise.all(endable.map((server) => server.end({ clock, isDue })));
          },
          otherConnectionCount: () =>
            endable.reduce((count, server) => count + server.connectionCount(), 0),
        },
        stop() {
          for (const [server] of servers) {
            server.close();
            server.closeAllConnections();
          }
          return Promise.resolve();
        },
      };
    },
  };
}

function createCallerServer(
  { clock, settings }: HostContext,
  cluster: Cluster,
  forwarder: Forwarder,
): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: CONNECTION_CHECK_MS,
    requestTimeout: 0,
    noDelay: true,
  }, (req, res) => void forwarder.handle(req, res));
  server.on("checkContinue", (req, res) => void forwarder.handleExpecting(req, res));
  server.on("connect", (_req, socket) => forwarder.handleTunnelRequest(socket as Socket));
  // Node.js drops header lines beyond the first 1,000 by default. The memory of all is counted instead.
  if (settings.machine?.memoryMb !== undefined) server.maxHeadersCount = 0;
  const { headersTimeout } = server;
  const limits = () => cluster.view.configuration()?.limits;
  const lowerHeaderTimeout = createGradualLimit(clock);
  const headerTimeoutMs = () => {
    const limitMs = limits()?.headerTimeoutMs;
    return limitMs === undefined ? headersTimeout : lowerHeaderTimeout(limitMs);
  };
  // Node.js reads both when it uses them, so that a new configuration holds for all connections.
  Object.defineProperties(server, {
    keepAliveTimeout: { get: () => limits()?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS },
    headersTimeout: { get: headerTimeoutMs },
  });
  server.on("connection", (socket) => {
    // A caller may rely on the limit that is in force when it connects.
    headerTimeoutMs();
    forwarder.accept(socket);
  });
  // Without a listener Node.js closes the connection by itself.
  server.on("timeout", (socket) => forwarder.handleIdleTimeout(socket));
  server.on("clientError", (err, socket) => forwarder.handleProtocolError(err, socket as Socket));
  return server;
}

function createReadinessHandler(
  context: HostContext,
  cluster: Cluster,
  stop: StopState,
): RequestHandler {
  return (req, res) => {
    const isReady = !stop.signal.aborted && cluster.view.configuration() !== undefined;
    const isCall = context.adapter.publicCalls.isReadinessCall(req.method ?? "", req.url ?? "");
    sendText(res, isCall ? (isReady ? 200 : 503) : 404, "");
  };
}

function createDirectoryHandler(context: HostContext, cluster: Cluster): RequestHandler {
  const { publicCalls } = context.adapter;
  return (req, res) => {
    const ttlMs = Math.min(DIRECTORY_TTL_MS, context.settings.maxDirectoryTtlMs);
    if (!publicCalls.isDirectoryCall(req.method ?? "", req.url ?? "")) {
      sendText(res, 404, "");
      return;
    }
    const addresses = chooseAddresses(cluster.fleet.liveHosts(), context.random);
    if (addresses.length === 0) sendText(res, 503, "");
    else sendText(res, 200, publicCalls.formatDirectory(addresses, ttlMs), "application/json");
  };
}

function createMetricsHandler(context: HostContext): RequestHandler {
  return async (_req, res) => sendText(res, 200, await context.metrics.text());
}

function sendText(res: ServerResponse, status: number, text: string, type = "text/plain"): void {
  const body = Buffer.from(text);
  res.writeHead(status, { "Content-Type": type, "Content-Length": body.length });
  res.end(body);
}
