/**
 * Constants of the routing layer.
 *
 * @module
 */

/** How long a request goes on without its caller, who may return through another host. */
export const RESUME_GRACE_MS = 5_000;

/** How long an ended answer can still be fetched from its host. */
export const ANSWER_RETENTION_MS = 60_000;

/** Most ended answers that a host keeps. */
export const MAX_RETAINED_ANSWERS = 2_000;

/** Silence between two tokens after which an engine connection counts as broken. */
export const ENGINE_IDLE_TIMEOUT_MS = 3_000;

/** Share of a workspace's requests that may be repeated. */
export const RETRY_BUDGET_RATIO = 0.1;

/** Retries that a workspace has in reserve, so that small workspaces can retry at all. */
export const RETRY_BUDGET_RESERVE = 10;

/** Retries that a host has in reserve for all workspaces together. */
export const RETRY_BUDGET_SYSTEM_RESERVE = 50;

/** Longest time for which an answer is followed from another host or engine. */
export const FOLLOW_TIMEOUT_MS = 600_000;

/** Most attempts of one request. */
export const MAX_ATTEMPTS = 4;

/** Limit of one call to an engine or service besides streams. */
export const ENGINE_CALL_TIMEOUT_MS = 2_000;

/** Decisions kept for `request explain`. */
export const MAX_LOGGED_REQUESTS = 5_000;
