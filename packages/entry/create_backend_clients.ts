import { createEngineClient, createServiceClient } from "@jaypass/engines";
import type { EngineClient, ServiceClient } from "@jaypass/engines";
import type { Clock, Metrics } from "@jaypass/kernel";
import type { BackendClients } from "./service_names.ts";

/**
 * Creates a cache of the clients of engines and plain services, with one client for each URL.
 *
 * @param options clock and metrics of the clients
 * @returns the clients and a function that closes them all
 *
 * @example
 * const backends = createBackendClients({ clock, metrics });
 * const engine = backends.engineFor("http://127.0.0.1:9000");
 */
export function createBackendClients(
  options: { clock: Clock; metrics: Metrics },
): BackendClients & { close(): Promise<void> } {
  const engines = new Map<string, EngineClient>();
  const services = new Map<string, ServiceClient>();
  return {
    engineFor: (url) => getOrCreate(engines, url, () => createEngineClient(url, options)),
    serviceFor: (url) => getOrCreate(services, url, () => createServiceClient(url, options)),
    close: async () => {
      const clients = [...engines.values(), ...services.values()];
      await Promise.all(clients.map((client) => client.close()));
    },
  };
}

function getOrCreate<T>(map: Map<string, T>, key: string, create: () => T): T {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
}
