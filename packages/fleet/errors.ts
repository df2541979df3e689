/**
 * Errors of the fleet.
 *
 * @module
 */

/** Why a call to the store failed. */
export const STORE_FAILURE = {
  /** No byte of an answer arrived in time. */
  NO_ANSWER: "no_answer",
  /** An answer began and was not complete in time. */
  PARTIAL_ANSWER: "partial_answer",
  /** The connection was refused or closed, the call was rejected, or its answer is not valid. */
  OTHER: "other",
} as const;

/** A value of {@linkcode STORE_FAILURE}. */
export type StoreFailure = typeof STORE_FAILURE[keyof typeof STORE_FAILURE];

/** A call to the store failed. */
export class StoreError extends Error {
  override name = "StoreError";
  /** Why it failed. */
  readonly reason: StoreFailure;

  constructor(message: string, options: { cause?: unknown; reason?: StoreFailure } = {}) {
    super(message, { cause: options.cause });
    this.reason = options.reason ?? STORE_FAILURE.OTHER;
  }
}

/** The store no longer has the changes after the requested revision. */
export class HistoryLostError extends StoreError {
  override name = "HistoryLostError";
}

/** A link to another host failed. */
export class LinkError extends Error {
  override name = "LinkError";
}
