/**
 * Types of request forwarding: routes, workspaces, and the metadata carried in headers.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { EngineProfile } from "@jaypass/placement";

/** How often the requests of a route may be executed, and how they are answered. */
export const ROUTE_KIND = {
  /** May be executed more than once. */
  IDEMPOTENT: "idempotent",
  /** Must be executed at most once. */
  NON_IDEMPOTENT: "non_idempotent",
  /** Answered by a stream of events. */
  STREAMING: "streaming",
} as const;

/** One of {@linkcode ROUTE_KIND}. */
export type RouteKind = typeof ROUTE_KIND[keyof typeof ROUTE_KIND];

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  /** Service name. */
  service: string;
  /** Weight relative to the other targets of the route. */
  weight: number;
}

/** Maps a host name and path prefix to the services that answer its requests. */
export interface Route {
  name: string;
  /** Host name, in lower case and without port. */
  host: string;
  /** Path prefix, with a slash at both ends. */
  prefix: string;
  /** Whether requests may be executed more than once, and whether answers are streamed. */
  kind: RouteKind;
  /** Longest time from the arrival of a request to the end of its answer. */
  timeoutMs: Millis;
  /** Latency target of the answer, or of a stream's first event; anything slower counts as late. */
  goalMs: Millis;
  /** Target for the longest pause between two events of a stream; 0 on other routes. */
  pauseGoalMs: Millis;
  /** Time without any event after which callers abandon a stream; the timeout on other routes. */
  patienceMs: Millis;
  /** Priority; 0 is the highest. */
  priority: number;
  /** Services that the requests are divided among. */
  targets: RouteTarget[];
  /** Number of servers that one request of a caller may be sent to. */
  maxAttempts: number;
  /** True if callers need no key. */
  isPublic: boolean;
  /** True if an interrupted stream may be resumed at another server. */
  isResumable: boolean;
}

/** Priority of a request; 0 is the highest. */
export interface RequestPriority {
  /** Priority of its workspace if that has one, of its route otherwise. */
  priority: number;
  /** Priority of its route, which decides among requests of equal `priority`. */
  routePriority: number;
}

/** A service that is provided by backend servers. */
export interface Service {
  name: string;
  /** Requests per second that a cold server can handle; 0 if cold servers need no limit. */
  coldRequestsPerS: number;
  /** Performance figures; set for model engines only. */
  engine?: EngineProfile;
  /** True if its streaming routes have different priorities; missing otherwise. */
  isPrioritized?: boolean;
  /** Priorities of the requests of a prioritized service, the most urgent first. */
  priorities?: readonly RequestPriority[];
}

/** A customer and the keys that authenticate its callers. */
export interface Workspace {
  /** Name, which is passed on to backend servers. */
  name: string;
  /** Keys that callers of the workspace send. */
  keys: string[];
  /** Priority that takes precedence over that of the route; 0 is the highest. */
  priority?: number;
}

/** Limits on requests of callers. */
export interface CallerLimits {
  /** Largest size of the request headers. */
  maxHeaderBytes: number;
  /** Largest size of the request body. */
  maxBodyBytes: number;
  /** Time within which the headers must arrive. */
  headerTimeoutMs: Millis;
  /** Time after which an idle keep-alive connection is closed. */
  idleTimeoutMs: Millis;
}

/** One version of the operators' configuration, indexed for lookups. */
export interface Configuration {
  /** Version number, which increases with each change. */
  version: number;
  /** Routes in any order. */
  routes: Route[];
  /** Services by name. */
  services: Map<string, Service>;
  /** Workspace names by key; undefined if callers need no keys. */
  workspaceByKey: Map<string, string> | undefined;
  /** Priorities of the workspaces that have one, by name. */
  priorityByWorkspace: Map<string, number>;
  /** Limits on requests of callers. */
  limits: CallerLimits;
}

/** Metadata that is read from the headers of a caller's request. */
export interface CallerMetadata {
  /** Id of this attempt of the caller. */
  attemptId: string | undefined;
  /** Time that the caller waits for its answer; undefined if the headers do not state it. */
  deadlineMs: Millis | undefined;
  /** Key of the caller's workspace. */
  key: string | undefined;
  /** Id of the last stream event that the caller received. */
  lastEventId: number | undefined;
  /** Length of the prompt in tokens; 0 for plain services. */
  promptTokens: number;
  /** Largest length of the answer in tokens; 0 for plain services. */
  maxAnswerTokens: number;
  /** The caller's estimate of the length of the answer in tokens. */
  estimatedAnswerTokens: number | undefined;
  /** Ids of the parts of the prompt, in order, `MAX_PROMPT_PARTS` at most; prompts share parts. */
  promptParts: readonly string[];
}

/** Metadata that a host adds to a request that it sends to a backend server. */
export interface ServerRequestMetadata {
  /** Id of the server incarnation that must answer. */
  serverId: string;
  /** Workspace of the caller; undefined on public routes. */
  workspace: string | undefined;
  /** Time left until the caller's deadline. */
  remainingMs: Millis;
  /** Id of the event after which a stream resumes; undefined keeps what the caller sent. */
  resumeAfter: number | undefined;
  /** Engines that prefill a part of the prompt, with their memory reservation. */
  helpers: { address: string; ticket?: string }[];
  /** Scheduling urgency at the engine, 0 being the most urgent; undefined for plain services. */
  urgency: number | undefined;
}

/** Metadata that is read from the status and headers of a server's answer. */
export interface AnswerMetadata {
  /** Id of the attempt that the answer belongs to. */
  attemptId: string | undefined;
  /** True if the answer carries the server's seal header. */
  isSealed: boolean;
  /** True if the server states that it did not execute the request. */
  isNotRun: boolean;
  /** Address of another server that caused the failure, if the answer names one. */
  faultyAddress: string | undefined;
  /** True if the body has a content encoding, so that it is not what the server produced. */
  isEncoded: boolean;
  /** True if the server states that it leaves and takes no further requests. */
  isLeaving: boolean;
  /**
   * Time for which a server that refused the request wants no requests from this host; undefined if
   * it states none.
   */
  pauseMs: Millis | undefined;
}

/** What a check of a server that sends nothing has found. */
export const SERVER_STATUS = {
  /** The server answers, so that it may still work on the request. */
  ALIVE: "alive",
  /** The process that got the request has ended: another one answers at its address. */
  LOST: "lost",
  /** It refuses connections: its process has ended, or it leaves and only ends its answers. */
  REFUSING: "refusing",
  /** No connection or no answer in time. */
  UNREACHABLE: "unreachable",
} as const;

/** One of {@linkcode SERVER_STATUS}. */
export type ServerStatus = typeof SERVER_STATUS[keyof typeof SERVER_STATUS];

/** A check of a server, which requests may share. */
export interface ServerCheck {
  /** What it has found. */
  status: ServerStatus;
  /** Monotonic time at which the server was asked. */
  askedMs: Millis;
}

/** Header names and values in alternation, as in `rawHeaders` of Node.js. */
export type HeaderList = string[];

/** Converts between headers and metadata for callers and backend servers. */
export interface HeaderCodec {
  /** Reads the metadata from a caller's headers. */
  readCaller(headers: HeaderList): CallerMetadata;
  /** Builds the headers of a request to a server. */
  writeServerRequest(headers: HeaderList, metadata: ServerRequestMetadata): HeaderList;
  /** Reads the metadata from the status and headers of a server's answer. */
  readAnswer(status: number, headers: HeaderList): AnswerMetadata;
  /** Builds the headers of an answer to a caller. */
  writeCallerAnswer(headers: HeaderList): HeaderList;
  /** Name of the header that states when the caller may retry. */
  retryAfterName: string;
}

/** How a caller's connection ended. Except for the last two, the host closed it by its own decision. */
export const CLOSE_REASON = {
  /** The process ends. */
  EXIT: "exit",
  /** No request came within the idle timeout. */
  IDLE_TIMEOUT: "idle_timeout",
  /** The headers of a request did not arrive within their timeout. */
  HEADER_TIMEOUT: "header_timeout",
  /** The caller sent bytes that are no request. */
  PROTOCOL_ERROR: "protocol_error",
  /** The body of a refused request did not end within the limits. */
  REFUSED_BODY: "refused_body",
  /** What it made the host hold was the most, and the host held too much. */
  MEMORY: "memory",
  /** Too many connections were open, and no request ran on this one. */
  CONNECTION_LIMIT: "connection_limit",
  /** The last answer had announced the close. */
  ANNOUNCED: "announced",
  /** An answer could not be completed after its head was sent. */
  ANSWER_BROKEN_OFF: "answer_broken_off",
  /** The caller had asked for the close after its request. */
  CALLER_REQUEST: "caller_request",
  /** The caller closed or reset the connection. */
  CALLER: "caller",
} as const;

/** One of {@linkcode CLOSE_REASON}. */
export type CloseReason = typeof CLOSE_REASON[keyof typeof CLOSE_REASON];
