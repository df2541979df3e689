/**
 * Types of request routing.
 *
 * @module
 */
import type { Deadline, Millis } from "@jaypass/kernel";
import type { CallResult, Ran } from "@jaypass/idempotency";

/** Reasons of refused and failed requests besides those of admission; also names of counters. */
export const FAILURE = {
  ENGINE_FAILED: "engine_failed",
  DEADLINE_PASSED: "deadline_passed",
  CALLER_GONE: "caller_gone",
  RETRY_BUDGET: "retry_budget",
  SERVICE_FAILED: "service_failed",
  UNKNOWN_REQUEST: "unknown_request",
  HOST_GONE: "host_gone",
  IDEMPOTENCY_KEY_MISSING: "idempotency_key_missing",
  UNKNOWN_MODEL: "unknown_model",
  UNKNOWN_SERVICE: "unknown_service",
} as const;

/** Reasons of retries; also values of the `reason` label of the retry counter. */
export const RETRY = {
  SERVER_DIED: "server_died",
  SERVER_REFUSED: "server_refused",
  SERVER_RESTARTED: "server_restarted",
  CONNECTION_LOST: "connection_lost",
  ANSWER_INVALID: "answer_invalid",
  GRANT_EXPIRED: "grant_expired",
} as const;

/** A reason of {@linkcode RETRY}. */
export type RetryReason = typeof RETRY[keyof typeof RETRY];

/** A request for a completion by a model. */
export interface ModelRequest {
  requestId: string;
  workspace: string;
  model: string;
  prompt: string;
  maxTokens: number;
  deadline: Deadline;
  /** Milliseconds from the start within which the first token is due. */
  firstTokenMs: Millis;
}

/** A call to a plain service, which runs no model. */
export interface PlainRequest {
  requestId: string;
  workspace: string;
  service: string;
  operation: string;
  body: Uint8Array;
  contentType: string;
  key?: string;
  deadline: Deadline;
}

/** A token of an answer. */
export interface AnswerToken {
  index: number;
  text: string;
}

/** Current state of an answer. */
export interface Answer {
  requestId: string;
  workspace: string;
  model: string;
  tokens: string[];
  state: "running" | "done" | "failed";
  /** Set when `state` is `failed`. */
  failure?: { reason: string; ran: Ran; message: string; retryAfterMs?: Millis };
  promptTokens: number;
  cachedTokens: number;
}

/** A decision for a request, as shown by `jaypass request explain`. */
export interface Decision {
  atMs: Millis;
  event: string;
  detail: Record<string, string | number | undefined>;
}

/** Runs requests on this host. */
export interface Router {
  /** Starts a model request and returns its answer, which is updated until it ends. */
  complete(req: ModelRequest): Answer;
  /** Calls a plain service. @throws {RequestError} */
  callService(req: PlainRequest): Promise<CallResult & { replayed: boolean }>;
  /**
   * Streams the tokens of an answer from an index, from this host, the host that accepted the
   * request or the engine that still runs it.
   *
   * @throws {RequestError} if the answer failed or is unknown
   */
  follow(
    requestId: string,
    options: FollowOptions,
  ): AsyncIterable<AnswerToken>;
  /** Returns the decisions for a request that this host ran. */
  explain(requestId: string): Decision[] | undefined;
  /** Returns the number of running requests. */
  running(): number;
  /** Waits until all requests have ended. */
  drain(): Promise<void>;
}

/** Options of {@linkcode Router.follow}. */
export interface FollowOptions {
  /** Workspace of the caller; answers of other workspaces are reported as unknown. */
  workspace: string;
  from: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}
