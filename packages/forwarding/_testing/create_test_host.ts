import { once } from "node:events";
import { createServer, request } from "node:http";
import type { Agent, IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { createClientLimits } from "@jaypass/client_limits";
import type { HostLimits } from "@jaypass/client_limits";
import { createClock } from "@jaypass/kernel";
import type { Logger, Metrics } from "@jaypass/kernel";
import type {
  EngineProfile,
  JobOutcome,
  PlacementDecision,
  PlacementJob,
} from "@jaypass/placement";
import { createForwarder } from "../create_forwarder.ts";
import type { Hedging } from "../create_hedging.ts";
import { createJobIds } from "../create_job_ids.ts";
import { createServerNotices } from "../create_server_notices.ts";
import { indexConfiguration } from "../index_configuration.ts";
import { ROUTE_KIND, SERVER_STATUS } from "../types.ts";
import type { HeaderCodec, Route, RouteKind, ServerStatus } from "../types.ts";
import type { ConnectionCounts } from "../_lib/create_connection_closer.ts";
import type { StopTime } from "../_lib/request_context.ts";

/** Answers a request that reaches a backend server of a test. */
export type ServerBehaviour = (req: IncomingMessage, res: ServerResponse, body: string) => void;

/** The answer that a caller received. */
export interface CallerResult {
  /** HTTP status; 0 if the connection ended without an answer. */
  status: number;
  /** Received part of the body. */
  body: string;
  /** True if the answer is complete. */
  isComplete: boolean;
  /** Value of the header that states when the caller may retry. */
  retryAfter: string | undefined;
}

/** A host with one backend server per behaviour. */
export interface TestHost {
  /** Sends a request and waits for its end. */
  call(options?: CallOptions): Promise<CallerResult>;
  /** Requests that reached servers, with the index of the server. */
  arrivals: { server: number; body: string; headers: IncomingMessage["headers"] }[];
  /** How the placed jobs ended, in order. */
  outcomes: JobOutcome[];
  /** Number of checks of servers that sent nothing. */
  checkCount(): number;
  /** Number of released memory reservations. */
  releaseCount(): number;
  /** Starts the graceful stop of the host, which ends after `remainingMs`. */
  stop(options: {
    /** Milliseconds since the signal; 0 by default. */
    elapsedMs?: number;
    remainingMs: number;
    isNeeded?: boolean;
    hasOtherHosts?: boolean;
  }): void;
  /** Starts the exit at the end of a graceful stop. */
  beginExit(): void;
  /** Closes idle connections of callers, and the others when they have no request any more. */
  endConnections(): void;
  /** Sets the progress of a graceful stop, which stays as it is, and whether callers need the host. */
  setStopTime(time: StopTime, options?: { isNeeded: boolean }): void;
  /** Logs the requests in progress as cut off and closes their connections. */
  cutOff(): void;
  /** Lets the answers in progress go on after the exit. */
  continueAfterExit(): void;
  /** Closes all connections of callers, as a process does that ends. */
  closeConnections(): void;
  /** Numbers of open connections of callers. */
  connectionCounts(): ConnectionCounts;
  /** Log lines, in order. */
  lines: { level: "info" | "warn"; fields: object; message: string }[];
  /** Counters by name and labels, and numbers of recorded timings by name. */
  counters: Record<string, number>;
  /** IP address and port for callers. */
  address: string;
  /** Number of requests in progress. */
  size(): number;
  /** Closes the host and its servers. */
  close(): Promise<void>;
}

/** Options of a call. */
export interface CallOptions {
  kind?: RouteKind;
  body?: string;
  method?: string;
  path?: string;
  deadlineMs?: number;
  key?: string;
  /** Length of the prompt; 0 by default. */
  promptTokens?: number;
  /** Maximum length of the answer. */
  answerTokens?: number;
  /** Milliseconds after which the caller closes its connection. */
  leaveAfterMs?: number;
  /** Agent that keeps connections; by default each call has its own connection. */
  agent?: Agent;
}

let nextHost = 1;

const SILENT_LOG = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: (fields: object, message: string) => console.error(message, fields),
  child: () => SILENT_LOG,
};

/** Options of {@linkcode createTestHost}. */
export interface TestHostOptions {
  /** Number of servers that one request may be sent to. */
  maxAttempts?: number;
  /** Timeouts of the server for callers. */
  serverOptions?: ServerOptions;
  /** True if the host has no configuration. */
  hasNoConfiguration?: boolean;
  /** Timeout of the routes. */
  timeoutMs?: number;
  /** True if the routes need no key. */
  isPublic?: boolean;
  /** Time that a memory reservation takes; if set, each placement needs a ticket. */
  reservationMs?: number;
  /** Reports whether a reservation succeeds; all do by default. */
  canReserve?: (jobId: string) => boolean | Promise<boolean>;
  /** Expected time to the first byte, as stated by placement; 10 ms by default. */
  expectedMs?: number;
  /** Target for the longest pause of streams; 100 ms by default. */
  pauseGoalMs?: number;
  /** False if streams may not go on at another server; true by default. */
  isResumable?: boolean;
  /** Status of each server, by index; all are alive by default. */
  serverStatus?: readonly ServerStatus[];
  /** Status of the servers at the time of a check, in place of `serverStatus`. */
  findStatus?: () => ServerStatus;
  /** Start times of the servers now, by index, where they differ from those at the placement. */
  restartedAtMs?: readonly (number | undefined)[];
  /** Addresses that servers are reached at in place of their own, by index. */
  serverAddresses?: readonly (string | undefined)[];
  /** Called for each new connection to a server, before its request is read. */
  onConnection?: (socket: Socket, server: number) => void;
  /** Called with the connection of each request of a caller, before the request is handled. */
  onCallerSocket?: (socket: Socket) => void;
  /** Time that each placement takes. */
  placementMs?: number;
  /** Cost model of the servers, if they run a model. */
  engine?: EngineProfile;
  /** Chooses the servers of a job, in place of the next server by index. */
  place?: (job: PlacementJob) => PlacementDecision | Promise<PlacementDecision>;
  /** Longest body of a caller's request; 1,000,000 bytes by default. */
  maxBodyBytes?: number;
  /** Second runs of requests that are slower than usual; none by default. */
  hedging?: Hedging;
  /** Limits on what callers make the host hold; none by default. */
  limits?: HostLimits;
  /** Refusal that placement answers with. */
  refusal?: PlacementDecision & { kind: "refused" };
}

/**
 * Starts a host and its servers on loopback. Each attempt is placed on the next server.
 */
export async function createTestHost(
  behaviours: readonly ServerBehaviour[],
  options: TestHostOptions = {},
): Promise<TestHost> {
  const name = `${process.pid}.${nextHost++}`;
  const arrivals: TestHost["arrivals"] = [];
  const servers = await Promise.all(
    behaviours.map((behaviour, index) => {
      const server = createBackend({ name, arrivals, behaviour, index });
      server.on("connection", (socket: Socket) => options.onConnection?.(socket, index));
      return listen(server);
    }),
  );
  const addresses = servers.map((server, at) => options.serverAddresses?.[at] ?? addressOf(server));
  const outcomes: JobOutcome[] = [];
  const placedIds = new Set<string>();
  let checkCount = 0;
  let releaseCount = 0;
  const clock = createClock();
  const stopping = new AbortController();
  const exiting = new AbortController();
  let readStopTime: () => StopTime | undefined = () => undefined;
  let isNeeded = true;
  let hasOtherHosts = false;
  const lines: TestHost["lines"] = [];
  const counters: TestHost["counters"] = {};
  const log: Logger = {
    ...SILENT_LOG,
    info: (fields, message) => void lines.push({ level: "info", fields, message }),
    warn: (fields, message) => void lines.push({ level: "warn", fields, message }),
  };
  const metrics: Metrics = {
    increment: (name, tags = {}) => {
      const key = [name, ...Object.values(tags)].join(" ");
      counters[key] = (counters[key] ?? 0) + 1;
    },
    gauge: () => {},
    timing: (name) => void (counters[name] = (counters[name] ?? 0) + 1),
    counters: () => ({}),
    close: () => Promise.resolve(),
  };
  const notices = createServerNotices({ clock, log, metrics });
  const forwarder = createForwarder({
    clock,
    random: () => 0.5,
    createJobId: createJobIds(Math.random),
    log,
    metrics,
    hedging: options.hedging,
    notices,
    clientLimits: options.limits &&
      createClientLimits({ limits: options.limits, clock, log, metrics }),
    codec: createTestCodec(name),
    configuration: () =>
      options.hasNoConfiguration ? undefined : indexConfiguration({
        version: 1,
        routes: Object.values(ROUTE_KIND).map((kind) => makeRoute(kind, options)),
        services: [{ name: "s", coldRequestsPerS: 0, engine: options.engine }],
        workspaces: [{ name: "w1", keys: ["k1"] }],
        limits: {
          maxHeaderBytes: 8_192,
          maxBodyBytes: options.maxBodyBytes ?? 1_000_000,
          headerTimeoutMs: 1_000,
          idleTimeoutMs: options.serverOptions?.keepAliveTimeout ?? 5_000,
        },
      }),
    findServer: (id) => {
      const restartedAtMs = placedIds.has(id) ? options.restartedAtMs?.[Number(id)] : undefined;
      placedIds.add(id);
      const address = addresses[Number(id)] ?? "127.0.0.1:1";
      return { id, service: "s", address, bornMs: restartedAtMs ?? 1 };
    },
    listServers: () =>
      addresses.map((address, at) => ({ id: String(at), service: "s", address, bornMs: 1 })),
    checkServer: ({ id }) => {
      checkCount += 1;
      const status = options.findStatus?.() ?? options.serverStatus?.[Number(id)];
      return Promise.resolve({ status: status ?? SERVER_STATUS.ALIVE, askedMs: clock.nowMs() });
    },
    findServerAt: () => undefined,
    placement: {
      async place(job) {
        if (options.placementMs !== undefined) await wait(options.placementMs);
        if (options.place !== undefined) return options.place(job);
        return options.refusal ?? placeNext(job, behaviours.length, options);
      },
      cancel: () => {},
      started: () => {},
      finished: (_jobId, outcome) => void outcomes.push(outcome),
    },
    reservations: {
      async reserve(jobId) {
        await wait(options.reservationMs);
        if (await options.canReserve?.(jobId) === false) return undefined;
        return { tickets: new Map(), release: () => void (releaseCount += 1) };
      },
    },
    stop: {
      signal: stopping.signal,
      exit: exiting.signal,
      time: () => readStopTime(),
      lingerMs: () => 0,
      isNeeded: () => isNeeded,
      hasOtherHosts: () => hasOtherHosts,
    },
  });
  const front = await listen(createServer(options.serverOptions ?? {}, (req, res) => {
    options.onCallerSocket?.(req.socket);
    void forwarder.handle(req, res);
  }));
  front.on("checkContinue", (req, res) => void forwarder.handleExpecting(req, res));
  front.on("connect", (_req, socket) => forwarder.handleTunnelRequest(socket as Socket));
  front.on("connection", (socket) => forwarder.accept(socket));
  front.on("timeout", (socket) => forwarder.handleIdleTimeout(socket));
  front.on("clientError", (err, socket) => forwarder.handleProtocolError(err, socket as Socket));
  return {
    call: (call = {}) => callHost(addressOf(front), call),
    arrivals,
    outcomes,
    stop(options) {
      const startMs = clock.nowMs() - (options.elapsedMs ?? 0);
      const endMs = clock.nowMs() + options.remainingMs;
      readStopTime = () => ({
        elapsedMs: clock.nowMs() - startMs,
        remainingMs: endMs - clock.nowMs(),
      });
      isNeeded = options.isNeeded ?? false;
      hasOtherHosts = options.hasOtherHosts ?? false;
      stopping.abort();
    },
    beginExit: () => exiting.abort(),
    setStopTime(time, options = { isNeeded: false }) {
      readStopTime = () => time;
      isNeeded = options.isNeeded;
    },
    endConnections: () => forwarder.endConnections(),
    cutOff: () => forwarder.cutOff(),
    continueAfterExit: () => forwarder.continueAfterExit(),
    closeConnections: () => forwarder.closeConnections(),
    connectionCounts: () => forwarder.connectionCounts(),
    lines,
    counters,
    address: addressOf(front),
    size: () => forwarder.size(),
    checkCount: () => checkCount,
    releaseCount: () => releaseCount,
    async close() {
      for (const server of [front, ...servers]) {
        server.close();
        server.closeAllConnections();
        await once(server, "close");
      }
    },
  };
}

function placeNext(
  job: PlacementJob,
  servers: number,
  options: TestHostOptions,
): PlacementDecision {
  const next = job.excludedIds.length;
  if (next >= servers) return { kind: "refused", reason: "no_server", retryAfterMs: 250 };
  return {
    kind: "placed",
    serverId: String(next),
    helperIds: [],
    tickets: options.reservationMs === undefined ? [] : [{ serverId: "0", tokens: 1 }],
    partMs: 0,
    expectedMs: options.expectedMs ?? 10,
  };
}

function makeRoute(kind: RouteKind, options: TestHostOptions): Route {
  return {
    name: kind,
    host: "a.example",
    prefix: `/${kind}/`,
    kind,
    timeoutMs: options.timeoutMs ?? 5_000,
    goalMs: 50,
    pauseGoalMs: kind === ROUTE_KIND.STREAMING ? options.pauseGoalMs ?? 100 : 0,
    patienceMs: 5_000,
    priority: 1,
    targets: [{ service: "s", weight: 1 }],
    maxAttempts: options.maxAttempts ?? (kind === ROUTE_KIND.NON_IDEMPOTENT ? 1 : 2),
    isPublic: options.isPublic ?? false,
    isResumable: options.isResumable ?? true,
  };
}

/**
 * Creates a codec with simple header names, so that the tests do not depend on those of a platform.
 *
 * @param name name of the host, which its requests state
 */
const createTestCodec = (name: string): HeaderCodec => ({
  retryAfterName: "Retry-After",
  readCaller: (headers) => ({
    attemptId: find(headers, "attempt"),
    deadlineMs: find(headers, "deadline") === undefined
      ? undefined
      : Number(find(headers, "deadline")),
    key: find(headers, "key"),
    lastEventId: undefined,
    promptTokens: Number(find(headers, "prompt-tokens") ?? 0),
    maxAnswerTokens: Number(find(headers, "answer-tokens") ?? 0),
    estimatedAnswerTokens: undefined,
    promptParts: [],
  }),
  writeServerRequest: (headers, metadata) => [
    "Host",
    "server",
    "Test-Host",
    name,
    "Attempt",
    find(headers, "attempt") ?? "",
    "Server",
    metadata.serverId,
    "Workspace",
    metadata.workspace ?? "",
    "Remaining",
    String(metadata.remainingMs),
    "Resume-After",
    String(metadata.resumeAfter ?? ""),
  ],
  readAnswer: (_status, headers) => ({
    isLeaving: find(headers, "leaving") !== undefined,
    pauseMs: find(headers, "pause-ms") === undefined
      ? undefined
      : Number(find(headers, "pause-ms")),
    attemptId: find(headers, "attempt"),
    isSealed: find(headers, "seal") !== undefined,
    isNotRun: find(headers, "not-run") !== undefined,
    faultyAddress: undefined,
    isEncoded: find(headers, "content-encoding") !== undefined,
  }),
  writeCallerAnswer: (headers) => ["Seal", find(headers, "seal") ?? ""],
});

function find(headers: string[], name: string): string | undefined {
  const at = headers.findIndex((field, index) => index % 2 === 0 && field.toLowerCase() === name);
  return at < 0 ? undefined : headers[at + 1];
}

function createBackend(
  { name, arrivals, behaviour, index }: {
    name: string;
    arrivals: TestHost["arrivals"];
    behaviour: ServerBehaviour;
    index: number;
  },
): Server {
  return createServer(async (req, res) => {
    // Hosts of other tests may still call a server whose port this one got.
    if (req.headers["test-host"] !== name) return void res.writeHead(421).end();
    let body = "";
    try {
      for await (const chunk of req.setEncoding("utf8")) body += chunk;
    } catch {
      // The host closed the connection before the request was complete.
      return;
    }
    arrivals.push({ server: index, body, headers: req.headers });
    behaviour(req, res, body);
  });
}

async function listen(server: Server): Promise<Server> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function callHost(address: string, call: CallOptions): Promise<CallerResult> {
  const kind = call.kind ?? ROUTE_KIND.IDEMPOTENT;
  return new Promise((resolve) => {
    const result: CallerResult = {
      status: 0,
      body: "",
      isComplete: false,
      retryAfter: undefined,
    };
    const req = request(`http://${address}${call.path ?? `/${kind}/1`}`, {
      method: call.method ?? "POST",
      agent: call.agent ?? false,
      headers: {
        Host: "a.example",
        Attempt: "a1",
        Key: call.key ?? "k1",
        Deadline: String(call.deadlineMs ?? 3_000),
        "Prompt-Tokens": String(call.promptTokens ?? 0),
        "Answer-Tokens": String(call.answerTokens ?? 0),
      },
    }, (res) => {
      result.status = res.statusCode ?? 0;
      result.retryAfter = res.headers["retry-after"];
      res.setEncoding("utf8").on("data", (chunk: string) => result.body += chunk);
      res.on("error", () => {});
      res.on("close", () => resolve({ ...result, isComplete: res.complete }));
    });
    req.on("error", () => resolve(result));
    req.end(call.body ?? "");
    if (call.leaveAfterMs !== undefined) setTimeout(() => req.destroy(), call.leaveAfterMs);
  });
}

/** Resets the connection of an answer. */
export function resetConnection(res: ServerResponse): void {
  (res.socket as Socket).resetAndDestroy();
}
