import type { Millis } from "@jaypass/kernel";
import { MIN_PAUSE_RETRY_SPREAD_MS, PAUSE_RETRY_SPREAD_SHARE } from "../constants.ts";
import type { CallerRequest, ForwardingContext } from "./request_context.ts";

/**
 * Computes the retry delay of a refused request if all servers of its service leave or pause.
 *
 * The delay ends at a random time after the first of the pauses, so that the callers of many refused
 * requests do not return at once.
 *
 * @param context services of the host
 * @param request the caller's request
 * @returns the delay in milliseconds; undefined if some server takes requests, or if none will
 */
export function computePauseRetryMs(
  context: ForwardingContext,
  { service }: Pick<CallerRequest, "service">,
): Millis | undefined {
  const servers = context.listServers(service);
  const waitMs = Math.min(...servers.map((server) => context.notices.waitMs(server)));
  if (waitMs === 0 || waitMs === Infinity) return undefined;
  const spreadMs = Math.max(MIN_PAUSE_RETRY_SPREAD_MS, waitMs * PAUSE_RETRY_SPREAD_SHARE);
  return Math.ceil(waitMs + context.random() * spreadMs);
}
