/**
 * Errors of the platform's clients.
 *
 * @module
 */

/** Why a call to the platform failed. */
export const STORE_FAILURE = {
  /** No response within the deadline. */
  TIMEOUT: "timeout",
  /** No connection could be opened, so nothing was sent. */
  UNREACHABLE: "unreachable",
  /** The connection broke before the response. */
  CONNECTION_LOST: "connection_lost",
  /** The service refused the request and it did not take effect. */
  UNAVAILABLE: "unavailable",
  /** The request exceeded the read or write budget and was refused. */
  OVER_BUDGET: "over_budget",
  /** The response does not match the protocol. */
  PROTOCOL: "protocol",
  /** The caller's signal aborted. */
  ABORTED: "aborted",
} as const;

/** A value of {@linkcode STORE_FAILURE}. */
export type StoreFailure = typeof STORE_FAILURE[keyof typeof STORE_FAILURE];

/** A call to the platform failed. */
export class StoreError extends Error {
  override name = "StoreError";
  /** Why the call failed. */
  readonly reason: StoreFailure;
  /** True when a write of this call may have taken effect or may do so later. */
  readonly mayTakeEffect: boolean;

  constructor(
    message: string,
    options: { reason: StoreFailure; mayTakeEffect: boolean; cause?: unknown },
  ) {
    super(message, { cause: options.cause });
    this.reason = options.reason;
    this.mayTakeEffect = options.mayTakeEffect;
  }
}
