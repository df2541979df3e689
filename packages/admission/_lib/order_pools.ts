import type { ConfigDocument } from "@jaypass/configuration";
import type { Millis } from "@jaypass/kernel";
import { rankByHash } from "../rank_by_hash.ts";
import type { AcquireRequest, Lane } from "../types.ts";
import type { PoolView } from "./list_pools.ts";

/** Extra delay accepted for the home pool over the best pool, because it may cache the prefix. */
const MAX_HOME_DELAY_MS = 250;

/** Options of {@linkcode orderPools}. */
export interface PoolOrderOptions {
  document: Readonly<ConfigDocument>;
  /** Data centre of this host. */
  dataCentre: string;
  lane: Lane;
  /** Last reported wait in a lane of a pool. */
  waitMs: (pool: string, lane: Lane) => Millis;
}

/**
 * Orders the pools that can serve a request, best first.
 *
 * The home pool comes first unless it is much slower than the best pool. It is chosen among the
 * pools of the host's region by the hash of the prompt's first block, so that prompts with the same
 * prefix go to the same pool. Requests with the same fingerprint have the same first block and
 * therefore the same home pool.
 *
 * @param req the request
 * @param pools the pools in service that serve its model
 * @param options distances and estimated waits
 * @returns the pools in the order in which they are tried
 */
export function orderPools(
  req: AcquireRequest,
  pools: readonly PoolView[],
  options: PoolOrderOptions,
): PoolView[] {
  const { document, dataCentre, lane, waitMs } = options;
  const distanceMs = (pool: PoolView) =>
    pool.dataCentre === dataCentre
      ? 0
      : document.dataCentres[dataCentre]?.oneWayMs[pool.dataCentre] ?? 50;
  // Four one-way delays: a round trip to the coordinator and one to the engine.
  const costMs = new Map(
    pools.map((pool) => [pool.name, 4 * distanceMs(pool) + waitMs(pool.name, lane)]),
  );
  const cost = (pool: PoolView) => costMs.get(pool.name)!;
  const ordered = [...pools].sort((a, b) => cost(a) - cost(b) || (a.name < b.name ? -1 : 1));
  const region = document.dataCentres[dataCentre]?.region;
  const local = ordered.filter((pool) => document.dataCentres[pool.dataCentre]?.region === region);
  const [homeName] = rankByHash(
    req.prefixBlocks[0] ?? req.fingerprint,
    (local.length > 0 ? local : ordered).map(({ name }) => name),
  );
  const home = ordered.find(({ name }) => name === homeName);
  if (home === undefined || cost(home) > cost(ordered[0]!) + MAX_HOME_DELAY_MS) return ordered;
  return [home, ...ordered.filter((pool) => pool !== home)];
}
