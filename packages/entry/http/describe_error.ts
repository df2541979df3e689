import { RAN } from "@jaypass/idempotency";
import { RequestError } from "@jaypass/routing";
import { STATUS_BY_REASON } from "../constants.ts";
import { BadRequestError } from "../errors.ts";

/** An error as sent to callers. */
export interface ErrorDescription {
  status: number;
  body: {
    error: {
      message: string;
      /** Stable reason; `docs/operations.md` lists all reasons. */
      reason: string;
      /** Whether the request ran; `not_run` guarantees that it will not run later either. */
      ran: "not_run" | "unknown" | "ran";
      retryAfterMs?: number;
    };
  };
}

/** Reason of unexpected errors. */
const INTERNAL_REASON = "internal";

/**
 * Converts an error to the response that its caller receives.
 *
 * @param err any error; the details of errors other than `BadRequestError` and `RequestError` are
 *     not included
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
