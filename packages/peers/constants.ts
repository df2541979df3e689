/**
 * Timeouts and limits of calls between hosts.
 *
 * @module
 */

/** Time between keep-alive pings of a connection. */
export const KEEPALIVE_TIME_MS = 2_000;

/** Time after which an unanswered ping closes its connection and fails all calls on it. */
export const KEEPALIVE_TIMEOUT_MS = 2_000;

/**
 * Time between keep-alive pings of a server. They only release handlers whose caller no longer
 * responds, which the deadline does as well, so they are less frequent than those of the caller.
 */
export const SERVER_KEEPALIVE_TIME_MS = 10_000;

/** Maximum time to connect, so that an unresponsive host does not use up the deadline of a call. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Time without calls after which a connection is closed. */
export const IDLE_CLOSE_MS = 30_000;

/** Maximum message size. A snapshot of the configuration at target scale is below 8 MB. */
export const MAX_MESSAGE_BYTES = 16 * 1_024 * 1_024;
