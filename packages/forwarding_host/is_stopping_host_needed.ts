import { LISTED_MS } from "./constants.ts";
import type { StoppingHost } from "./decide_stop_step.ts";

/**
 * Reports whether callers may still need a stopping host: valid answers of the directory name it, or
 * no other host accepts callers and it is idle. A busy host that has left takes no further requests,
 * so that it can exit and be back.
 *
 * @param host what the host knows
 * @returns true if it should take requests whose answers are expected to end in time
 *
 * @example
 * isStoppingHostNeeded({ ...host, leftAgoMs: 3_000, requests: 0, readyHosts: 0 }); // true
 */
export function isStoppingHostNeeded(host: StoppingHost): boolean {
  const { leftAgoMs, requests, readyHosts } = host;
  if (leftAgoMs === undefined || leftAgoMs <= LISTED_MS) return true;
  return requests === 0 && readyHosts === 0;
}
