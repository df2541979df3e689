/**
 * Contracts of forwarding: routes, workspaces and what is read from and written to headers.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { EngineProfile } from "@jaypass/placement";

/** What may be repeated on a route. */
export const ROUTE_KIND = {
  /** May run more than once. */
  IDEMPOTENT: "idempotent",
  /** May run once at most. */
  NON_IDEMPOTENT: "non_idempotent",
  /** Answered by a series of events. */
  STREAMING: "streaming",
} as const;

/** One of {@linkcode ROUTE_KIND}. */
export type RouteKind = typeof ROUTE_KIND[keyof typeof ROUTE_KIND];

/** A service that gets a part of a route's requests. */
export interface RouteTarget {
  /** Name of the service. */
  service: string;
  /** Its weight among the targets of the route. */
  weight: number;
}

/** A rule that sends requests of a host name and path prefix to services. */
export interface Route {
  /** Name of the route. */
  name: string;
  /** Host name, in lower case and without port. */
  host: string;
  /** Path prefix, with a slash at both ends. */
  prefix: string;
  /** What may be repeated. */
  kind: RouteKind;
  /** Longest time that a request may be kept waiting. */
  timeoutMs: Millis;
  /** Time within which the answer, or a stream's first event, earns full credit. */
  goalMs: Millis;
  /** Longest pause between events that is in time; 0 for other routes. */
  pauseGoalMs: Millis;
  /** Time without any event after which callers give a stream up; the timeout on other routes. */
  patienceMs: Millis;
  /** Rank; 0 is the highest. */
  priority: number;
  /** Services that answer. */
  targets: RouteTarget[];
  /** Servers to which one attempt of a caller may be sent. */
  maxAttempts: number;
  /** True where no key is asked for. */
  isPublic: boolean;
  /** True where a broken stream may go on at another server. */
  isResumable: boolean;
}

/** A service of backend servers. */
export interface Service {
  /** Name of the service. */
  name: string;
  /** Requests a second that a cold server bears; 0 where cold starts do not matter. */
  coldRequestsPerS: number;
  /** Cost figures of model engines. */
  engine?: EngineProfile;
}

/** A customer with its keys. */
export interface Workspace {
  /** Name, which servers are told. */
  name: string;
  /** Keys that its callers present. */
  keys: string[];
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  /** Most bytes of a request's headers. */
  maxHeaderBytes: number;
  /** Most bytes of a request's body. */
  maxBodyBytes: number;
  /** Longest time for the headers. */
  headerTimeoutMs: Millis;
  /** Longest time that a kept connection may be idle. */
  idleTimeoutMs: Millis;
}

/** One version of the operators' configuration. */
export interface Configuration {
  /** Number that grows with each change. */
  version: number;
  /** Routes in any order. */
  routes: Route[];
  /** Services by name. */
  services: Map<string, Service>;
  /** Workspace names by key; undefined where no keys are asked for. */
  workspaceByKey: Map<string, string> | undefined;
  /** Bounds on callers. */
  limits: CallerLimits;
}

/** Facts of a caller's request that its headers state. */
export interface CallerMetadata {
  /** Id of this attempt. */
  attemptId: string | undefined;
  /** Milliseconds that the caller waits; undefined when it does not say. */
  deadlineMs: Millis | undefined;
  /** Key of the caller's workspace. */
  key: string | undefined;
  /** Last event that the caller has seen of a stream. */
  lastEventId: number | undefined;
  /** Tokens of the prompt; 0 for plain services. */
  promptTokens: number;
  /** Most tokens of the answer; 0 for plain services. */
  maxAnswerTokens: number;
  /** The caller's estimate of the answer's tokens. */
  estimatedAnswerTokens: number | undefined;
}

/** What a host tells a server beside the caller's request. */
export interface ServerRequestMetadata {
  /** Identity of the server that must answer. */
  serverId: string;
  /** Workspace of the caller; undefined on public routes. */
  workspace: string | undefined;
  /** Milliseconds until the answer is worthless. */
  remainingMs: Millis;
  /** Event after which a stream goes on; undefined keeps what the caller sent. */
  resumeAfter: number | undefined;
  /** Servers that read a part of the prompt. */
  helpers: { address: string; ticket?: string }[];
  /** Urgency among the requests of an engine, 0 first; undefined for plain services. */
  urgency: number | undefined;
}

/** Facts of a server's answer that its headers state. */
export interface AnswerMetadata {
  /** Id of the attempt that is answered. */
  attemptId: string | undefined;
  /** True when the answer bears the server's seal. */
  isSealed: boolean;
  /** True when the server says that it did not run the request. */
  isNotRun: boolean;
  /** Address of the server at fault, when a server names another one. */
  faultyAddress: string | undefined;
  /** True when the body is not as the server made it. */
  isEncoded: boolean;
}

/** Header fields as pairs of name and value in order, as in `rawHeaders` of Node.js. */
export type HeaderList = string[];

/** Translates headers between callers, hosts and servers. */
export interface HeaderCodec {
  /** Reads what a caller's headers state. */
  readCaller(headers: HeaderList): CallerMetadata;
  /** Makes the headers of a request to a server. */
  writeServerRequest(headers: HeaderList, facts: ServerRequestMetadata): HeaderList;
  /** Reads what a server's status and headers state. */
  readAnswer(status: number, headers: HeaderList): AnswerMetadata;
  /** Makes the headers of an answer to a caller. */
  writeCallerAnswer(headers: HeaderList): HeaderList;
  /** Name of the header that says when to come back. */
  retryAfterName: string;
}
