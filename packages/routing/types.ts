/**
 * Contracts of the life of a request on its host.
 *
 * @module
 */
import type { Deadline, Millis } from "@jaypass/kernel";
import type { CallResult, Ran } from "@jaypass/idempotency";

/** Why a request is refused or fails besides the reasons of admission; also counter names. */
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

/** Why an attempt is repeated; also counter names. */
export const RETRY = {
  SERVER_DIED: "server_died",
  SERVER_REFUSED: "server_refused",
  CONNECTION_LOST: "connection_lost",
  ANSWER_INVALID: "answer_invalid",
  GRANT_EXPIRED: "grant_expired",
} as const;

/** A reason of {@linkcode RETRY}. */
export type RetryReason = typeof RETRY[keyof typeof RETRY];

/** A prompt for a model. */
export interface ModelRequest {
  requestId: string;
  workspace: string;
  model: string;
  prompt: string;
  maxTokens: number;
  deadline: Deadline;
  /** Milliseconds from the start until the first token is due. */
  firstTokenMs: Millis;
}

/** A call to a plain service. */
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

/** A piece of an answer, with the index of its token. */
export interface AnswerToken {
  index: number;
  text: string;
}

/** What is known of an answer so far. */
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

/** One decision taken for a request, for `request explain`. */
export interface Decision {
  atMs: Millis;
  event: string;
  detail: Record<string, string | number | undefined>;
}

/** Runs requests on this host. */
export interface Router {
  /** Starts a model request and returns its answer, which grows until it ends. */
  complete(req: ModelRequest): Answer;
  /** Calls a plain service. @throws {RequestError} */
  callService(req: PlainRequest): Promise<CallResult & { replayed: boolean }>;
  /**
   * Streams an answer's tokens from an index on, from this host, the host that accepted it, or the
   * engine that still runs it.
   *
   * @throws {RequestError} when the answer failed or is not known
   */
  follow(
    requestId: string,
    options: FollowOptions,
  ): AsyncIterable<AnswerToken>;
  /** The decisions taken for a request that this host ran. */
  explain(requestId: string): Decision[] | undefined;
  /** Number of requests that have not ended. */
  running(): number;
  /** Awaits the end of all requests. */
  drain(): Promise<void>;
}

/** Options of {@linkcode Router.follow}. */
export interface FollowOptions {
  /** Workspace of the caller; answers of other workspaces are unknown to it. */
  workspace: string;
  from: number;
  /** Aborted when the caller is gone. */
  signal: AbortSignal;
}
