import type { EngineErrorCode, ExecutionStatus } from "./types.ts";

/** Fields of an {@linkcode EngineError}. */
export interface EngineErrorOptions {
  code: EngineErrorCode;
  ran: ExecutionStatus;
  /** Reason that the server stated for a refusal, for example `too_large`. */
  reason?: string;
  cause?: unknown;
}

/**
 * A call to an engine or a plain service failed.
 *
 * `ran` is `not_run` only if no byte of the request was written, or if the server refused the
 * request and named its request id.
 */
export class EngineError extends Error {
  override name = "EngineError";
  readonly code: EngineErrorCode;
  readonly ran: ExecutionStatus;
  readonly reason: string | undefined;

  constructor(message: string, options: EngineErrorOptions) {
    super(message, { cause: options.cause });
    this.code = options.code;
    this.ran = options.ran;
    this.reason = options.reason;
  }
}
