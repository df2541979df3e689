import { createHash } from "node:crypto";
import type { Millis } from "@jaypass/kernel";
import { RETRY_AFTER_MAX_SHARE, RETRY_AFTER_SPREAD_SHARE } from "./constants.ts";
import type { PlacementJob } from "./types.ts";

const HASH_RANGE = 2 ** 32;

/**
 * Computes when the caller of a refused request should come back.
 *
 * Meant for an overload, in which callers that were refused together would return together. The delay
 * differs from request to request over half of the time; it is the same each time for the same request.
 *
 * @param job the refused request with its current times
 * @param drainMs time in which the work before the request will be done
 * @returns milliseconds, at most a third of the time that the caller has left
 *
 * @example
 * computeRetryAfter({ ...job, wholeWithinMs: 9_000 }, 1_000); // between 500 and 1,000
 */
export function computeRetryAfter(
  { id, wholeWithinMs }: Pick<PlacementJob, "id" | "wholeWithinMs">,
  drainMs: Millis,
): Millis {
  const longestMs = Math.min(drainMs, Math.max(0, wholeWithinMs) * RETRY_AFTER_MAX_SHARE);
  const random = createHash("sha1").update(id).digest().readUInt32BE(0) / HASH_RANGE;
  return Math.floor(longestMs * (1 - RETRY_AFTER_SPREAD_SHARE * random));
}
