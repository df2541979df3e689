/**
 * Constants of request routing.
 *
 * @module
 */

/**
 * Time for which a request continues without its caller, who may reconnect through another host.
 */
export const RESUME_GRACE_MS = 5_000;

/** Time for which an ended answer can still be fetched from its host. */
export const ANSWER_RETENTION_MS = 60_000;

/** Maximum number of ended answers that a host keeps. */
export const MAX_RETAINED_ANSWERS = 2_000;

/** Time without a token after which an engine connection counts as broken. */
export const ENGINE_IDLE_TIMEOUT_MS = 3_000;

/** Retries allowed per request of a workspace, as a ratio. */
export const RETRY_BUDGET_RATIO = 0.1;

/** Maximum retry balance of a workspace; lets workspaces with few requests retry as well. */
export const RETRY_BUDGET_RESERVE = 10;

/** Maximum retry balance of a host for all workspaces together. */
export const RETRY_BUDGET_SYSTEM_RESERVE = 50;

/** Maximum time for which an answer is streamed from another host or from an engine. */
export const FOLLOW_TIMEOUT_MS = 600_000;

/** Maximum number of attempts of a request, including the first. */
export const MAX_ATTEMPTS = 4;

/** Timeout of a call to an engine or service that is not a stream. */
export const ENGINE_CALL_TIMEOUT_MS = 2_000;

/** Maximum number of requests whose decisions are kept for `jaypass request explain`. */
export const MAX_LOGGED_REQUESTS = 5_000;
