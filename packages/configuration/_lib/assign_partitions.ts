import { PARTITION_MAX_SERVERS } from "../constants.ts";
import type { BackendServerConfig } from "../types.ts";

/** Backend servers by name. */
type Servers = Readonly<Record<string, BackendServerConfig>>;

/**
 * Assigns each server without a partition to the lowest partition of its pool that has room.
 *
 * @param servers servers by name; assigned partitions are kept
 * @returns the servers by name, each with a partition
 */
export function assignPartitions(servers: Servers): Record<string, BackendServerConfig> {
  const poolIdOf = ({ serves, dataCentre }: BackendServerConfig) => `${serves}@${dataCentre}`;
  const sizesByPool = new Map<string, number[]>();
  const partitionSizesOf = (server: BackendServerConfig) => {
    const sizes = sizesByPool.get(poolIdOf(server)) ?? [];
    sizesByPool.set(poolIdOf(server), sizes);
    return sizes;
  };
  for (const server of Object.values(servers)) {
    if (server.partition === undefined) continue;
    const partitionSizes = partitionSizesOf(server);
    partitionSizes[server.partition] = (partitionSizes[server.partition] ?? 0) + 1;
  }
  const assigned: Record<string, BackendServerConfig> = { ...servers };
  for (const id of Object.keys(servers).sort()) {
    const server = servers[id]!;
    if (server.partition !== undefined) continue;
    const partitionSizes = partitionSizesOf(server);
    let partition = 0;
    while ((partitionSizes[partition] ?? 0) >= PARTITION_MAX_SERVERS) partition++;
    partitionSizes[partition] = (partitionSizes[partition] ?? 0) + 1;
    assigned[id] = { ...server, partition };
  }
  return assigned;
}
