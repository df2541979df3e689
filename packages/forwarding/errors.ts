/**
 * Errors of forwarding.
 *
 * @module
 */

/** Reasons of an answer that the host makes itself. */
export const FAILURE = {
  NO_CONFIGURATION: "no_configuration",
  UNKNOWN_ROUTE: "unknown_route",
  UNKNOWN_KEY: "unknown_key",
  BODY_TOO_LARGE: "body_too_large",
  BODY_INCOMPLETE: "body_incomplete",
  BODY_MEMORY: "body_memory",
  STOPPING: "stopping",
  DEADLINE: "deadline",
  ROUTE_TIMEOUT: "route_timeout",
  NO_SERVER: "no_server",
  RETRY_BUDGET: "retry_budget",
  QUARANTINED: "quarantined",
  COLD_LIMIT: "cold_limit",
  TOO_LARGE: "too_large",
  UNSERVABLE: "unservable",
  SERVER_REJECTED: "server_rejected",
  SERVER_BROKE_OFF: "server_broke_off",
  SERVER_SILENT: "server_silent",
  INVALID_ANSWER: "invalid_answer",
  INTERNAL: "internal",
} as const;

/** One of {@linkcode FAILURE}. */
export type Failure = typeof FAILURE[keyof typeof FAILURE];

/** A caller's request ends with an answer of the host's own. */
export class ForwardingError extends Error {
  override name = "ForwardingError";
  /** Status of the answer. */
  readonly status: number;
  /** Reason, also the name of its counter. */
  readonly reason: Failure;
  /** Milliseconds after which the caller may come back, where that makes sense. */
  readonly retryAfterMs: number | undefined;

  constructor(
    status: number,
    reason: Failure,
    options: { retryAfterMs?: number; cause?: unknown } = {},
  ) {
    super(`Request not served: ${reason}`, { cause: options.cause });
    this.status = status;
    this.reason = reason;
    this.retryAfterMs = options.retryAfterMs;
  }
}
