import { listPools as listPoolConfigs } from "@jaypass/configuration";
import type { BackendServerConfig, ConfigDocument } from "@jaypass/configuration";

/** The servers of one model or service in one data centre, or a partition of them. */
export interface PoolView {
  name: string;
  serves: string;
  dataCentre: string;
  servers: ({ id: string } & BackendServerConfig)[];
}

/**
 * Lists the pools of a document with the configuration of their servers.
 *
 * @param document the configuration in force
 * @returns pools and partitions in the order of their names
 */
export function listPools(document: Readonly<ConfigDocument>): PoolView[] {
  return listPoolConfigs(document).map(({ id: name, serves, dataCentre, servers }) => ({
    name,
    serves,
    dataCentre,
    servers: servers.map((id) => ({ id, ...document.backendServers[id]! })),
  }));
}

/** Name of a pool's lease. */
export function poolLeaseName(pool: string): string {
  return `pools/${pool}`;
}
