/**
 * Errors of the call ledger.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { Ran } from "./types.ts";

/** Reasons given by the ledger; errors of `prepare` and `send` keep their own reasons. */
export const CALL_REASON = {
  /** The key was used with another operation or body. */
  KEY_REUSED: "key_reused",
  /** The record could not be written. */
  STORE_UNAVAILABLE: "store_unavailable",
  /** Another attempt with the same key had not ended by the deadline. */
  IN_PROGRESS: "in_progress",
  /** The deadline passed. */
  DEADLINE_EXCEEDED: "deadline_exceeded",
  /** The call was sent, and it cannot be determined whether it ran. */
  OUTCOME_UNKNOWN: "outcome_unknown",
  /** The call was not sent because of an error. */
  NOT_SENT: "not_sent",
  /** An operator tried to settle a call whose outcome is not unknown. */
  NOT_UNKNOWN: "not_unknown",
} as const;

/** Thrown when a call was refused or its outcome is unknown. */
export class CallError extends Error {
  override name = "CallError";
  /** A value of {@linkcode CALL_REASON} or the reason of the error in `cause`. */
  readonly reason: string;
  /** Whether the attempt was executed. */
  readonly ran: Ran;
  /** Milliseconds after which a retry may succeed. */
  readonly retryAfterMs: Millis | undefined;

  constructor(reason: string, options: { ran: Ran; retryAfterMs?: Millis; cause?: unknown }) {
    super(`Call refused with "${reason}" and "${options.ran}"`, { cause: options.cause });
    this.reason = reason;
    this.ran = options.ran;
    this.retryAfterMs = options.retryAfterMs;
  }
}

/** Thrown when a record names an object that does not exist in the object store. */
export class MissingResultError extends Error {
  override name = "MissingResultError";
}
