import type { IncomingMessage } from "node:http";
import { ConfigurationError, resolveTimeout } from "@jaypass/configuration";
import type { HourTimeout } from "@jaypass/configuration";
import { createDeadline } from "@jaypass/kernel";
import type { Deadline, Millis } from "@jaypass/kernel";
import { BAD_REQUEST } from "../constants.ts";
import { BadRequestError } from "../errors.ts";
import type { HttpContext } from "./http_context.ts";

/** Caller kind of requests without the `x-caller-kind` header. */
const DEFAULT_CALLER_KIND = "default";

/** The deadline of a request and the time until its first token is due. */
export interface RequestDeadline {
  deadline: Deadline;
  firstTokenMs: Millis;
}

/**
 * Creates the deadline of a request from its headers and the table of timeouts.
 *
 * @param req request with the optional headers `x-caller-kind` and `x-timeout-ms`
 * @param context configuration and clock
 * @returns the earlier of the caller's and the table's deadline
 * @throws {BadRequestError} without a timeout for the caller kind or a timeout that is not a positive number
 *
 * @example
 * const { deadline, firstTokenMs } = createRequestDeadline(req, context);
 */
export function createRequestDeadline(
  req: IncomingMessage,
  context: Pick<HttpContext, "configuration" | "clock">,
): RequestDeadline {
  const kind = String(req.headers["x-caller-kind"] ?? DEFAULT_CALLER_KIND);
  const configured = resolveConfigured(kind, context);
  const timeoutMs = Math.min(configured.timeoutMs, readTimeout(req));
  return {
    deadline: createDeadline(timeoutMs, { clock: context.clock }),
    firstTokenMs: Math.min(configured.firstTokenMs, timeoutMs),
  };
}

function resolveConfigured(
  kind: string,
  { configuration, clock }: Pick<HttpContext, "configuration" | "clock">,
): HourTimeout {
  try {
    return resolveTimeout(configuration.document(), kind, clock.wallMs());
  } catch (err) {
    if (!(err instanceof ConfigurationError)) throw err;
    throw new BadRequestError(err.message, {
      status: 400,
      reason: BAD_REQUEST.UNKNOWN_CALLER_KIND,
      cause: err,
    });
  }
}

function readTimeout(req: IncomingMessage): Millis {
  const header = req.headers["x-timeout-ms"];
  if (header === undefined) return Infinity;
  const timeoutMs = Number(header);
  if (Number.isFinite(timeoutMs) && timeoutMs > 0) return timeoutMs;
  throw new BadRequestError(`Header "x-timeout-ms" is "${header}", expected milliseconds above 0`, {
    status: 400,
    reason: BAD_REQUEST.MALFORMED,
  });
}
