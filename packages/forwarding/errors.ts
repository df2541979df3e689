/**
 * Failure reasons and errors of request forwarding.
 *
 * @module
 */

/** Reasons of failures that the host itself answers with. */
export const FAILURE = {
  NO_CONFIGURATION: "no_configuration",
  UNKNOWN_ROUTE: "unknown_route",
  UNKNOWN_KEY: "unknown_key",
  INVALID_REQUEST: "invalid_request",
  HEADERS_TOO_LARGE: "headers_too_large",
  BODY_TOO_LARGE: "body_too_large",
  BODY_INCOMPLETE: "body_incomplete",
  BODY_MEMORY: "body_memory",
  STOPPING: "stopping",
  DEADLINE: "deadline",
  ROUTE_TIMEOUT: "route_timeout",
  NO_SERVER: "no_server",
  SERVERS_PAUSED: "servers_paused",
  RETRY_BUDGET: "retry_budget",
  QUARANTINED: "quarantined",
  COLD_LIMIT: "cold_limit",
  TOO_LARGE: "too_large",
  UNSERVABLE: "unservable",
  /** Only of hedges, so that no caller is answered with it. */
  NO_SPARE_ROOM: "no_spare_room",
  SERVER_REJECTED: "server_rejected",
  SERVER_BROKE_OFF: "server_broke_off",
  SERVER_SILENT: "server_silent",
  SERVER_LOST: "server_lost",
  INVALID_ANSWER: "invalid_answer",
  INTERNAL: "internal",
} as const;

/** One of {@linkcode FAILURE}. */
export type Failure = typeof FAILURE[keyof typeof FAILURE];

/** A request failed in a way that the host itself answers to the caller. */
export class ForwardingError extends Error {
  override name = "ForwardingError";
  /** HTTP status of the answer. */
  readonly status: number;
  /** Reason, which is also the `reason` label of the refusal counter. */
  readonly reason: Failure;
  /** Milliseconds after which the caller may retry; undefined if a retry is pointless. */
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
