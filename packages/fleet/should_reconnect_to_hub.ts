import type { Millis } from "@jaypass/kernel";
import { HUB_RETRY_DELAY_MS, VIEW_INTERVAL_MS } from "./constants.ts";

/** What a host knows of a hub whose link it gives up. */
export interface LostHubLink {
  /** True if the hub had sent a view on the link, so that it was working. */
  wasReady: boolean;
  /** Milliseconds since the hub's last message. */
  heardAgoMs: Millis;
  /** The same for each other hub whose link was open at the last message of this one. */
  othersHeardAgoMs: readonly Millis[];
  /** Milliseconds since the host last connected to this hub again; Infinity if it never did. */
  reconnectedAgoMs: Millis;
}

/**
 * Decides whether a host connects to a hub again before it selects another one.
 *
 * The end or the silence of a connection need not be that of the hub: all connections of one age can
 * fail together. If each host then left its hubs, placement would pass to hubs that know neither the
 * running requests nor the use of the limits, and back again. A hub that is silent while another one
 * is heard is left at once, and so is one that fails again soon after it was connected to again.
 *
 * @param link the link that is given up
 * @returns true to connect again
 *
 * @example
 * shouldReconnectToHub({ wasReady: true, heardAgoMs: 1_000, othersHeardAgoMs: [900], reconnectedAgoMs: Infinity }); // true
 */
export function shouldReconnectToHub(
  { wasReady, heardAgoMs, othersHeardAgoMs, reconnectedAgoMs }: LostHubLink,
): boolean {
  if (!wasReady || reconnectedAgoMs <= HUB_RETRY_DELAY_MS) return false;
  return othersHeardAgoMs.every((otherMs) => heardAgoMs - otherMs <= VIEW_INTERVAL_MS);
}
