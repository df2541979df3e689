/**
 * Constants of the entry host.
 *
 * @module
 */
import { REFUSAL } from "@jaypass/admission";
import { ADDRESS_TTL_MS, LEAVE_PROPAGATION_MS } from "@jaypass/membership";
import { FAILURE } from "@jaypass/routing";

/** Reasons of requests that are refused before they reach the router. */
export const BAD_REQUEST = {
  BODY_TOO_LARGE: "body_too_large",
  BODY_TIMEOUT: "body_timeout",
  BODY_TRUNCATED: "body_truncated",
  MALFORMED: "malformed",
  HOST_BUSY: "host_busy",
  UNAUTHORIZED: "unauthorized",
  NOT_FOUND: "not_found",
  METHOD_NOT_ALLOWED: "method_not_allowed",
  UNKNOWN_MODEL: "unknown_model",
  UNKNOWN_CALLER_KIND: "unknown_caller_kind",
  NOT_READY: "not_ready",
  STOPPING: "stopping",
} as const;

/** HTTP status of each reason; a reason that is not listed has status 503. */
export const STATUS_BY_REASON: Readonly<Record<string, number>> = {
  [FAILURE.DEADLINE_PASSED]: 504,
  [FAILURE.SERVICE_FAILED]: 502,
  [FAILURE.ENGINE_FAILED]: 502,
  [FAILURE.HOST_GONE]: 502,
  [FAILURE.UNKNOWN_REQUEST]: 404,
  [FAILURE.UNKNOWN_SERVICE]: 404,
  [FAILURE.UNKNOWN_MODEL]: 404,
  [FAILURE.IDEMPOTENCY_KEY_MISSING]: 400,
  [REFUSAL.WORKSPACE_LIMIT]: 429,
  [REFUSAL.QUARANTINED]: 422,
  [REFUSAL.PROMPT_TOO_LARGE]: 413,
  key_reused: 422,
};

/** Number of addresses in an address list. */
export const ADDRESS_COUNT = 6;

/** Time without data after which the rest of the body of a refused request is not read any more. */
export const UNREAD_BODY_IDLE_MS = 1_000;

/** Lowest limit on the bytes of the body of a refused request that are read and discarded. */
export const MIN_UNREAD_BODY_LIMIT_BYTES = 4 * 1024 * 1024;

/** Longest time for which a connection that was closed by the host waits for its caller to close it. */
export const CLOSE_LINGER_MS = 1_000;

/** Longest time for which a stopping host accepts the connections that wait. */
export const CLOSE_LISTENER_TIMEOUT_MS = 1_000;

/** Timeout for stopping all services after the drain. */
export const STOP_TIMEOUT_MS = 30_000;

/** Shortest grace period: address lists that name the host must expire before its services stop. */
export const MIN_STOP_GRACE_MS = ADDRESS_TTL_MS + LEAVE_PROPAGATION_MS + STOP_TIMEOUT_MS;
