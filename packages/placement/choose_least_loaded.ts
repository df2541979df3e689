import type { EngineChoice } from "./choose_engines.ts";
import { NETWORK_OVERHEAD_MS } from "./constants.ts";
import type { ServerLoad } from "./create_server_load.ts";

/**
 * Chooses the server of a plain service that has the fewest requests for its slots.
 *
 * The load it answers: calls of similar length. Of equally loaded servers the one with fewer recent
 * requests is taken, so that a server that fails fast does not attract all calls.
 *
 * @param loads usable servers of the service
 * @returns the choice, or nothing without a server
 *
 * @example
 * chooseLeastLoaded(loads)?.first.server.id;
 */
export function chooseLeastLoaded(loads: readonly ServerLoad[]): EngineChoice | undefined {
  const [first] = [...loads].sort((a, b) =>
    a.size() / a.server.slots - b.size() / b.server.slots || a.recentSends() - b.recentSends()
  );
  if (first === undefined) return undefined;
  return {
    primary: first,
    helpers: [],
    tickets: [],
    partMs: 0,
    backlogMs: 0,
    expectedMs: NETWORK_OVERHEAD_MS,
    delayCost: 0,
    isOnTime: true,
  };
}
