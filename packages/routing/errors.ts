/**
 * Errors of request routing.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { Ran } from "@jaypass/idempotency";

/** Details of a {@linkcode RequestError}. */
export interface RequestErrorOptions {
  /** Stable reason; also the name of a counter. */
  reason: string;
  ran: Ran;
  retryAfterMs?: Millis;
  cause?: unknown;
}

/** Error of a request that was refused or failed; `ran` says whether it ran. */
export class RequestError extends Error {
  override name = "RequestError";
  readonly reason: string;
  readonly ran: Ran;
  readonly retryAfterMs?: Millis;

  constructor(message: string, options: RequestErrorOptions) {
    super(message, { cause: options.cause });
    this.reason = options.reason;
    this.ran = options.ran;
    this.retryAfterMs = options.retryAfterMs;
  }
}
