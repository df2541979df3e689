import { MIN_READY_SHARE } from "./constants.ts";
import type { StoppingHost } from "./decide_stop_step.ts";

/**
 * Reports whether enough other hosts accept callers to serve those of a stopping host.
 *
 * @param host what the host knows
 * @returns true if a refused caller more likely than not meets a host that is not stopping
 *
 * @example
 * isStoppingHostReplaceable({ ...host, readyHosts: 9, usualHosts: 17 }); // true
 */
export function isStoppingHostReplaceable(
  { readyHosts, usualHosts }: Pick<StoppingHost, "readyHosts" | "usualHosts">,
): boolean {
  return readyHosts > 0 && readyHosts >= MIN_READY_SHARE * usualHosts;
}
