/**
 * Errors of the routing layer.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { Ran } from "@jaypass/idempotency";

/** Details of a {@linkcode RequestError}. */
export interface RequestErrorOptions {
  /** Stable reason, which is also the name of a counter. */
  reason: string;
  ran: Ran;
  retryAfterMs?: Millis;
  cause?: unknown;
}

/** A request was refused or failed; says whether it ran. */
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
