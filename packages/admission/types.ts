/**
 * Contracts of admission: pools, grants and their coordinators.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Why a request was refused; also the names of the refusal counters. */
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

/** Lanes by expected work. */
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
  CONNECTION_LOST: "connection_lost",
} as const;

/** An outcome of {@linkcode GRANT_OUTCOME}. */
export type GrantOutcome = typeof GRANT_OUTCOME[keyof typeof GRANT_OUTCOME];

/** A request for a grant. */
export interface AcquireRequest {
  requestId: string;
  /** Model or plain service. */
  serves: string;
  workspace: string;
  /** Hash of the body without ids, by which repeats of a poison request are known. */
  fingerprint: string;
  promptTokens: number;
  maxTokens: number;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  prefixBlocks: string[];
  /** Milliseconds until the whole answer is due. */
  remainingMs: Millis;
  /** Milliseconds until the first token is due. */
  firstTokenRemainingMs: Millis;
  /** Servers that already failed this request. */
  exclude: string[];
}

/** A server that a grant allows to be used. */
export interface GrantedServer {
  id: string;
  url: string;
  dataCentre: string;
}

/** Permission to send one request to one server, or a prompt's parts to several engines. */
export interface Grant {
  grantId: string;
  requestId: string;
  pool: string;
  /** Peer address of the coordinator. */
  coordinator: string;
  /** The first server generates; further ones hold parts of a long prompt. */
  servers: GrantedServer[];
  priority: number;
  lane: Lane;
  fencing: number;
  /** Must be dispatched within this time after the request for the grant was sent. */
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
  /** Restart counter that the server showed with its answer. */
  restartCount?: number;
}

/** Admission as a host's router uses it. */
export interface Admission {
  /**
   * Waits for a grant from the coordinator of a suitable pool.
   *
   * @throws {AdmissionRefusedError} with a reason and a time to retry
   */
  acquire(req: AcquireRequest, signal: AbortSignal): Promise<Grant>;
  /** Throws when the grant's dispatch window has passed; called right before the send. */
  checkDispatch(grant: Grant): void;
  /** Ends a grant; kept and repeated in reports until the coordinator has confirmed it. */
  release(grant: Grant, result: GrantResult): void;
  /** Finds the grant of a request that another host sent, on any coordinator. */
  find(requestId: string, signal: AbortSignal): Promise<Grant | undefined>;
}
