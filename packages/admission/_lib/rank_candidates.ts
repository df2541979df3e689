import type { HostView } from "@jaypass/membership";
import { CANDIDATES_PER_POOL } from "../constants.ts";
import { rankByHash } from "../rank_by_hash.ts";

/**
 * Ranks the hosts that compete for a lease: alive hosts by rendezvous hashing, those in the
 * preferred data centre first.
 *
 * The ranking may differ between hosts for a while, but the lease has only one holder.
 *
 * @param name lease name
 * @param options hosts and the preferred data centre
 * @returns the candidates, best first
 */
export function rankCandidates(
  name: string,
  options: { hosts: readonly HostView[]; dataCentre?: string },
): HostView[] {
  const alive = new Map(
    options.hosts.filter(({ state }) => state === "alive").map((host) => [host.id, host]),
  );
  const ranked = rankByHash(name, [...alive.keys()]).map((id) => alive.get(id)!);
  const isNear = (host: HostView) => host.dataCentre === options.dataCentre;
  return [...ranked.filter(isNear), ...ranked.filter((host) => !isNear(host))]
    .slice(0, CANDIDATES_PER_POOL);
}
