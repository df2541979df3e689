import { RAN } from "@jaypass/idempotency";
import { RequestError } from "@jaypass/routing";
import { STATUS_BY_REASON } from "../constants.ts";
import { BadRequestError } from "../errors.ts";

/** An error as callers see it. */
export interface ErrorDescription {
  status: number;
  body: {
    error: {
      message: string;
      /** Stable reason, listed in docs/operations.md. */
      reason: string;
      /** Whether the request ran; `not_run` is only said when it cannot run any more. */
      ran: "not_run" | "unknown" | "ran";
      retryAfterMs?: number;
    };
  };
}

/** Reason of errors that no layer has turned into one of its own. */
const INTERNAL_REASON = "internal";

/**
 * Describes any error for a caller.
 *
 * @param err an error of the entry host or of the routing layer; others are hidden
 * @returns HTTP status and JSON body
 *
 * @example
 * const { status, body } = describeError(err);
 */
export function describeError(err: unknown): ErrorDescription {
  if (err instanceof BadRequestError) {
    const { message, reason, status } = err;
    return { status, body: { error: { message, reason, ran: RAN.NOT_RUN } } };
  }
  if (err instanceof RequestError) {
    const { message, reason, ran, retryAfterMs } = err;
    const status = STATUS_BY_REASON[reason] ?? 503;
    return { status, body: { error: { message, reason, ran, retryAfterMs } } };
  }
  const error = { message: "Internal error", reason: INTERNAL_REASON, ran: RAN.UNKNOWN };
  return { status: 500, body: { error } };
}
