/**
 * Types of admission: requests, grants, refusals and their results.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Why a request was refused; also the values of the counters' label `reason`. */
export const REFUSAL = {
  DEADLINE_UNREACHABLE: "deadline_unreachable",
  DEADLINE_PASSED: "deadline_passed",
  OVERLOADED: "overloaded",
  NO_CAPACITY: "no_capacity",
  WORKSPACE_LIMIT: "workspace_limit",
  QUARANTINED: "quarantined",
  RETRY_BUDGET: "retry_budget",
  COORDINATOR_UNREACHABLE: "coordinator_unreachable",
  NOT_COORDINATOR: "not_coordinator",
  PROMPT_TOO_LARGE: "prompt_too_large",
  DATA_CENTRE_OUT: "data_centre_out",
} as const;

/** A reason of {@linkcode REFUSAL}. */
export type Refusal = typeof REFUSAL[keyof typeof REFUSAL];

/** Queues of a pool, by the expected prefill work of a request. */
export const LANE = { SHORT: "short", MEDIUM: "medium", LONG: "long" } as const;

/** A lane of {@linkcode LANE}. */
export type Lane = typeof LANE[keyof typeof LANE];

/** How a granted request ended, as reported to the coordinator. */
export const GRANT_OUTCOME = {
  DONE: "done",
  CANCELLED: "cancelled",
  NOT_DISPATCHED: "not_dispatched",
  SERVER_DIED: "server_died",
  SERVER_REFUSED: "server_refused",
  /** The server had restarted since the grant was issued, and refused the request. */
  SERVER_RESTARTED: "server_restarted",
  CONNECTION_LOST: "connection_lost",
} as const;

/** An outcome of {@linkcode GRANT_OUTCOME}. */
export type GrantOutcome = typeof GRANT_OUTCOME[keyof typeof GRANT_OUTCOME];

/** A request for a grant. */
export interface AcquireRequest {
  requestId: string;
  /** Model or plain service that the request needs. */
  serves: string;
  workspace: string;
  /**
   * Hash of the body without ids, which identifies repetitions of a request that crashes servers.
   */
  fingerprint: string;
  promptTokens: number;
  maxTokens: number;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  prefixBlocks: string[];
  /** Milliseconds until the whole answer is due. */
  remainingMs: Millis;
  /** Milliseconds until the first token is due. */
  firstTokenRemainingMs: Millis;
  /** Ids of servers that have already failed this request. */
  exclude: string[];
}

/** A server that a grant permits to use. */
export interface GrantedServer {
  id: string;
  url: string;
  dataCentre: string;
  /** Restart counter for which the grant is valid; undefined if it was not known. */
  restartCount?: number | undefined;
}

/** Permission to send a request to one server, or the parts of its prompt to several engines. */
export interface Grant {
  grantId: string;
  requestId: string;
  pool: string;
  /** Peer address of the coordinator. */
  coordinator: string;
  /** The first server generates the answer; any others hold parts of a long prompt. */
  servers: GrantedServer[];
  priority: number;
  lane: Lane;
  fencing: number;
  /** Time for the dispatch, from the moment at which the request for the grant was sent. */
  dispatchWithinMs: Millis;
  /** Why this server was chosen, for `request explain`. */
  explanation: string;
}

/** What a host reports when a grant ends. */
export interface GrantResult {
  outcome: GrantOutcome;
  firstTokenMs?: Millis;
  totalMs?: Millis;
  outputTokens?: number;
  /** Restart counter in the server's answer. */
  restartCount?: number;
}

/** The client side of admission, as used by a host's router. */
export interface Admission {
  /**
   * Waits for a grant from the coordinator of a suitable pool.
   *
   * @throws {AdmissionRefusedError} with a reason and a time to retry
   */
  acquire(req: AcquireRequest, signal: AbortSignal): Promise<Grant>;
  /**
   * Checks a grant immediately before its dispatch.
   *
   * @throws {AdmissionRefusedError} when the dispatch window has passed or the request is
   *   quarantined
   */
  checkDispatch(grant: Grant): void;
  /** Ends a grant; the end is repeated in reports until the coordinator has confirmed it. */
  release(grant: Grant, result: GrantResult): void;
  /** Asks all coordinators for the grant of a request that another host has dispatched. */
  find(requestId: string, signal: AbortSignal): Promise<Grant | undefined>;
}
