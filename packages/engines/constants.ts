/**
 * Constants of the engine protocol.
 *
 * @module
 */

/** Prompt tokens in one block of the prefix cache. */
export const PREFIX_BLOCK_TOKENS = 1_024;

/** Longest line of an event stream, so that a broken server cannot fill the memory of a host. */
export const MAX_EVENT_LINE_BYTES = 1_048_576;

/** Largest body of an answer other than an event stream; an exported KV reference is far smaller. */
export const MAX_ANSWER_BYTES = 67_108_864;

/** Time after which an idle connection is closed; below the 5 s after which it is not trusted. */
export const IDLE_CONNECTION_MS = 4_000;

/** Longest time to establish a connection; nothing has been sent when it passes. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Time for the cancellation that follows an abandoned completion. */
export const CANCEL_TIMEOUT_MS = 2_000;
