/**
 * Errors of admission.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { Refusal } from "./types.ts";

/** Thrown when a request gets no grant; nothing has been sent to a server. */
export class AdmissionRefusedError extends Error {
  override name = "AdmissionRefusedError";
  /** No server has received this attempt. */
  readonly ran = "not_run";
  /** Why the request was refused. */
  readonly reason: Refusal;
  /** Milliseconds after which the request may be repeated. */
  readonly retryAfterMs: Millis | undefined;

  constructor(
    reason: Refusal,
    message: string,
    options: { retryAfterMs?: Millis; cause?: unknown } = {},
  ) {
    super(message, { cause: options.cause });
    this.reason = reason;
    this.retryAfterMs = options.retryAfterMs;
  }
}
