import { PARTITION_MAX_SERVERS } from "../constants.ts";
import type { BackendServerConfig } from "../types.ts";

/** Servers by name. */
type Servers = Readonly<Record<string, BackendServerConfig>>;

/**
 * Gives each server without a partition the lowest partition of its pool that has room.
 *
 * @param servers servers by name; assigned partitions are kept
 * @returns the servers, all with a partition
 */
export function assignPartitions(servers: Servers): Record<string, BackendServerConfig> {
  const poolOf = ({ serves, dataCentre }: BackendServerConfig) => `${serves}@${dataCentre}`;
  const sizes = new Map<string, number[]>();
  const sizesOf = (server: BackendServerConfig) => {
    const found = sizes.get(poolOf(server)) ?? [];
    sizes.set(poolOf(server), found);
    return found;
  };
  for (const server of Object.values(servers)) {
    if (server.partition === undefined) continue;
    const pool = sizesOf(server);
    pool[server.partition] = (pool[server.partition] ?? 0) + 1;
  }
  const assigned: Record<string, BackendServerConfig> = { ...servers };
  for (const id of Object.keys(servers).sort()) {
    const server = servers[id]!;
    if (server.partition !== undefined) continue;
    const pool = sizesOf(server);
    let partition = 0;
    while ((pool[partition] ?? 0) >= PARTITION_MAX_SERVERS) partition++;
    pool[partition] = (pool[partition] ?? 0) + 1;
    assigned[id] = { ...server, partition };
  }
  return assigned;
}
