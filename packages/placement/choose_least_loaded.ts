import { comparePlaces } from "./compare_places.ts";
import type { EngineChoice } from "./choose_engines.ts";
import { NETWORK_OVERHEAD_MS } from "./constants.ts";
import type { ServerLoad } from "./create_server_load.ts";

/**
 * Chooses the server of a plain service with the fewest requests relative to its slots.
 *
 * Meant for calls of similar length. Among equally loaded servers the one with fewer recent
 * requests is chosen, so that a server that fails fast does not attract all calls. Servers in the
 * preferred data centre go before it: how many requests a server fails is known apart from that.
 *
 * @param loads usable servers of the service
 * @param dataCentre preferred data centre; no preference by default
 * @returns the choice, or `undefined` without a server
 *
 * @example
 * chooseLeastLoaded(loads)?.first.server.id;
 */
export function chooseLeastLoaded(
  loads: readonly ServerLoad[],
  dataCentre?: string,
): EngineChoice | undefined {
  const [primary] = [...loads].sort((a, b) =>
    a.size() / a.server.slots - b.size() / b.server.slots ||
    comparePlaces(dataCentre, a, b) || a.recentSends() - b.recentSends()
  );
  if (primary === undefined) return undefined;
  return {
    primary: primary,
    helpers: [],
    tickets: [],
    partMs: 0,
    backlogMs: 0,
    expectedMs: NETWORK_OVERHEAD_MS,
    delayCost: 0,
    isOnTime: true,
  };
}
