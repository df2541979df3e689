import { assignPartitions } from "./_lib/assign_partitions.ts";
import type { ConfigDocument, PoolConfig } from "./types.ts";

/**
 * Lists the pools and partitions of a document.
 *
 * Servers keep their assigned partition, so adding servers neither renames a partition nor moves a
 * server. Servers without a partition get the first one that has room, in the order of their names.
 *
 * @param document a valid document
 * @returns the pools, sorted by id; servers in state `leaving` are included
 *
 * @example
 * const pools = listPools(configuration.document());
 */
export function listPools(document: Readonly<ConfigDocument>): PoolConfig[] {
  const pools = new Map<string, PoolConfig>();
  const servers = assignPartitions(document.backendServers);
  for (const [id, { kind, serves, dataCentre, partition = 0 }] of Object.entries(servers)) {
    const poolId = `${serves}@${dataCentre}${partition === 0 ? "" : `#${partition}`}`;
    const pool = pools.get(poolId);
    if (pool === undefined) {
      pools.set(poolId, { id: poolId, kind, serves, dataCentre, partition, servers: [id] });
    } else {
      pool.servers.push(id);
    }
  }
  for (const pool of pools.values()) pool.servers.sort();
  return [...pools.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
}
