/**
 * Constants of the engine protocol.
 *
 * @module
 */

/** Prompt tokens in one block of the prefix cache. */
export const PREFIX_BLOCK_TOKENS = 1_024;

/** Longest line of an event stream; prevents a faulty server from exhausting a host's memory. */
export const MAX_EVENT_LINE_BYTES = 1_048_576;

/** Largest body of an answer that is not an event stream; a KV reference is far smaller. */
export const MAX_ANSWER_BYTES = 67_108_864;

/** Time after which an idle connection is closed; after 5 s idle, one must not be relied on. */
export const IDLE_CONNECTION_MS = 4_000;

/** Timeout of connecting; nothing has been sent when it expires. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Timeout of cancelling an abandoned completion on its engine. */
export const CANCEL_TIMEOUT_MS = 2_000;
