/**
 * Constants of the platform's clients.
 *
 * @module
 */

/** Attempts of a read within its deadline. */
export const READ_ATTEMPTS = 3;

/** Delay before the first retry of a read; doubled with each retry, with random jitter. */
export const RETRY_BASE_DELAY_MS = 20;

/** Time to connect after which the service counts as unreachable. */
export const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Idle connections are closed after this time.
 *
 * Below the service's own idle timeout, so that a write is rarely sent on a connection that the
 * service is closing, which would leave its outcome unknown.
 */
export const IDLE_TIMEOUT_MS = 4_000;

/** Maximum number of connections of one client to one service. */
export const MAX_CONNECTIONS = 32;
