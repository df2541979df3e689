import type { IncomingMessage } from "node:http";
import type { HttpContext } from "./http_context.ts";
import { readBody } from "./read_body.ts";
import type { BufferedBody } from "./read_body.ts";

/**
 * Reads a caller's body within the bounds of the settings and the host's budget.
 *
 * @param req the caller's request
 * @param context settings and budget
 * @returns the body, to be released when the request has ended
 * @throws {BadRequestError} when a bound is exceeded or the body is cut off
 */
export function readCallerBody(
  req: IncomingMessage,
  { settings, budget }: Pick<HttpContext, "settings" | "budget">,
): Promise<BufferedBody> {
  const { maxBodyBytes, bodyTimeoutMs } = settings.limits;
  return readBody(req, { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs, budget });
}
