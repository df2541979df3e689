import type { Millis } from "@jaypass/kernel";
import { MIN_PAUSE_RETRY_SPREAD_MS, PAUSE_RETRY_SPREAD_SHARE } from "../constants.ts";
import { listUnusableServers } from "./list_unusable_servers.ts";
import type { AttemptState } from "./attempt.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/**
 * Computes the retry delay of a request for which placement found no server, if a pause of servers
 * is the reason.
 *
 * The delay ends at a random time after the first of the pauses, so that the callers of many refused
 * requests do not return at once.
 *
 * @param context services of the host
 * @param request the caller's request
 * @param state servers that the request has been sent to
 * @returns the delay in milliseconds; undefined if no server pauses, or if the request was also
 * excluded from a server that takes others
 */
export function computePauseRetryMs(
  context: ForwardingContext,
  request: Pick<CallerRequest, "service">,
  { excludedIds }: Pick<AttemptState, "excludedIds">,
): Millis | undefined {
  const unusable = listUnusableServers(context, request);
  const unusableIds = new Set(unusable.map(({ id }) => id));
  if (excludedIds.some((id) => !unusableIds.has(id))) return undefined;
  const waitMs = Math.min(...unusable.map((server) => context.notices.waitMs(server)));
  if (waitMs === Infinity) return undefined;
  const spreadMs = Math.max(MIN_PAUSE_RETRY_SPREAD_MS, waitMs * PAUSE_RETRY_SPREAD_SHARE);
  return Math.ceil(waitMs + context.random() * spreadMs);
}
