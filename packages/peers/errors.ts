/**
 * Errors of calls between hosts.
 *
 * @module
 */

/** Why a call to a peer failed. */
export const PEER_FAILURE = {
  /** No connection could be established. */
  CONNECT_FAILED: "connect_failed",
  /** The connection broke or stopped responding during the call. */
  CONNECTION_LOST: "connection_lost",
  /** The deadline passed. */
  TIMEOUT: "timeout",
  /** The caller's signal aborted. */
  CANCELLED: "cancelled",
  /** The receiver's schema rejected the request. */
  BAD_REQUEST: "bad_request",
  /** The caller's schema rejected the response. */
  BAD_RESPONSE: "bad_response",
  /** The receiver does not know the method. */
  UNIMPLEMENTED: "unimplemented",
  /** The handler threw an error other than a refusal. */
  HANDLER_FAILED: "handler_failed",
  /** The pool is closed. */
  POOL_CLOSED: "pool_closed",
} as const;

/** A value of {@linkcode PEER_FAILURE}. */
export type PeerFailure = typeof PEER_FAILURE[keyof typeof PEER_FAILURE];

/** Options of {@linkcode PeerError}. */
export interface PeerErrorOptions extends ErrorOptions {
  /** `not_run` only when it is certain that the handler did not start. */
  ran: "not_run" | "unknown";
  reason: PeerFailure;
}

/** A call to a peer failed without a response from its handler. */
export class PeerError extends Error {
  override name = "PeerError";
  readonly ran: "not_run" | "unknown";
  readonly reason: PeerFailure;

  constructor(message: string, options: PeerErrorOptions) {
    super(message, options);
    this.ran = options.ran;
    this.reason = options.reason;
  }
}

/** Thrown by a handler to refuse a call, and to the caller with the same code and detail. */
export class PeerRefusal extends Error {
  override name = "PeerRefusal";

  /**
   * @param code machine-readable reason
   * @param detail JSON value for the caller
   */
  constructor(readonly code: string, readonly detail?: unknown) {
    super(`Peer refused with "${code}"`);
  }
}
