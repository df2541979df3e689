/**
 * Figures of forwarding.
 *
 * @module
 */

/** Milliseconds to establish a connection to a server; links inside a region take under 3 ms. */
export const CONNECT_TIMEOUT_MS = 400;

/** Attempts to connect that reach no server; none of them was sent, so they are not retries. */
export const MAX_CONNECT_FAILURES = 4;

/** Bytes of an answer that is not streamed up to which it is held until it is whole. */
export const MAX_BUFFERED_ANSWER_BYTES = 262_144;

/** Bytes of request bodies that a host holds at a time. */
export const MAX_BUFFERED_BODY_BYTES = 48 * 1024 * 1024;

/** Least milliseconds before a server that has not answered is given up for another one. */
export const MIN_FIRST_BYTE_TIMEOUT_MS = 700;

/** Multiple of the expected time to the first byte after which a server counts as silent. */
export const FIRST_BYTE_EXPECTED_FACTOR = 2;

/** Multiple of the route's goal added to it, since queueing is not all known. */
export const FIRST_BYTE_GOAL_FACTOR = 2;

/** Multiple of the pause goal after which a stream that has begun counts as broken off. */
export const STALL_TIMEOUT_FACTOR = 5;

/** Milliseconds that must be left for another server to be worth a try. */
export const MIN_RETRY_REMAINING_MS = 100;

/** Milliseconds after which a caller that was refused by a server may come back. */
export const REJECTED_RETRY_AFTER_MS = 300;

/** Milliseconds after which a caller may come back while the host has no configuration. */
export const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

/** Bytes that may wait for a slow caller before the server's stream is paused. */
export const CALLER_BUFFER_BYTES = 262_144;

/** Prompt tokens up to which a request has each urgency; a longer prompt gets the last one. */
export const URGENCY_STEPS: readonly { maxTokens: number; urgency: number }[] = [
  { maxTokens: 8_192, urgency: 2 },
  { maxTokens: 32_768, urgency: 3 },
  { maxTokens: 100_000, urgency: 5 },
  { maxTokens: Infinity, urgency: 6 },
];
