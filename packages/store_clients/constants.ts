/**
 * Constants of the platform's clients.
 *
 * @module
 */

/** Attempts of a read within its deadline. */
export const READ_ATTEMPTS = 3;

/** First pause before a read is repeated; doubled each time and multiplied by a random share. */
export const RETRY_BASE_DELAY_MS = 20;

/** A connection that does not open in this time counts as unreachable. */
export const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Idle connections are closed after this time.
 *
 * Below the service's own limit, so that a write rarely meets a connection that the service is
 * closing and ends with an unknown outcome.
 */
export const IDLE_TIMEOUT_MS = 4_000;

/** Connections of one client to one service. */
export const MAX_CONNECTIONS = 32;
