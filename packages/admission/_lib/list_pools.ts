import type { BackendServerConfig, ConfigDocument } from "@jaypass/configuration";

/** The servers of one model or service in one data centre, or a partition of them. */
export interface PoolView {
  name: string;
  serves: string;
  dataCentre: string;
  servers: ({ id: string } & BackendServerConfig)[];
}

/** Most servers of a pool; larger ones are split into partitions. */
const POOL_SIZE = 16;

/**
 * Lists the pools of a document.
 *
 * @param document the configuration in force
 * @returns pools and partitions in the order of their names
 */
export function listPools(document: Readonly<ConfigDocument>): PoolView[] {
  const groups = new Map<string, PoolView>();
  for (const [id, server] of Object.entries(document.backendServers).sort()) {
    const name = `${server.serves}@${server.dataCentre}`;
    const group = groups.get(name) ??
      { name, serves: server.serves, dataCentre: server.dataCentre, servers: [] };
    group.servers.push({ id, ...server });
    groups.set(name, group);
  }
  return [...groups.values()].flatMap((group) => {
    if (group.servers.length <= POOL_SIZE) return [group];
    const parts = Math.ceil(group.servers.length / POOL_SIZE);
    return Array.from({ length: parts }, (_, n) => ({
      ...group,
      name: `${group.name}#${n}`,
      servers: group.servers.filter((_, i) => i % parts === n),
    }));
  }).sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** Name of a pool's lease. */
export function poolLeaseName(pool: string): string {
  return `pools/${pool}`;
}
