import type { Deadline } from "@jaypass/kernel";
import { BAD_REQUEST } from "../constants.ts";
import { BadRequestError } from "../errors.ts";
import type { HttpContext } from "./http_context.ts";

/**
 * Registers a request so that a drain waits for it.
 *
 * @param context the drain of the host
 * @param deadline deadline of the request; cleared if the request is refused
 * @returns the function to call when the request has ended
 * @throws {BadRequestError} if the host is draining and could end before the deadline
 *
 * @example
 * const endTracking = trackRequest(context, deadline);
 */
export function trackRequest(
  { drain }: Pick<HttpContext, "drain">,
  deadline: Deadline,
): () => void {
  const remainingMs = deadline.remainingMs();
  if (drain.accepts(remainingMs)) return drain.track(remainingMs);
  deadline.clear();
  throw new BadRequestError("Host is stopping and could end before the deadline of the request", {
    status: 503,
    reason: BAD_REQUEST.STOPPING,
  });
}
