/**
 * Constants of calls between hosts.
 *
 * @module
 */

/** Time between keep-alive pings of a connection. */
export const KEEPALIVE_TIME_MS = 2_000;

/** Time after which an unanswered ping ends its connection and all calls on it. */
export const KEEPALIVE_TIMEOUT_MS = 2_000;

/**
 * Time between a server's pings. They only free handlers whose caller went silent, which the
 * deadline does as well, so they are rarer than the caller's.
 */
export const SERVER_KEEPALIVE_TIME_MS = 10_000;

/** Longest wait for a connection; a silent host must not use up a call's whole deadline. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Time without calls after which a connection is closed. */
export const IDLE_CLOSE_MS = 30_000;

/** Largest message. A snapshot of the configuration at target scale is below 8 MB. */
export const MAX_MESSAGE_BYTES = 16 * 1_024 * 1_024;
