import { createConfiguration } from "@jaypass/configuration";
import type { AnyServiceDefinition } from "@jaypass/kernel";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/**
 * Defines the service that keeps the current configuration.
 *
 * @param context clock, log and metrics of the process
 * @returns a definition for the kernel
 */
export function defineConfigurationService(context: ProcessContext): AnyServiceDefinition {
  return {
    name: SERVICE.CONFIGURATION,
    needs: [
      SERVICE.TABLES,
      SERVICE.OBJECTS,
      SERVICE.PEER_POOL,
      SERVICE.PEER_SERVER,
      SERVICE.MEMBERSHIP,
    ],
    start: (lookup) => {
      const configuration = createConfiguration({
        ...context,
        table: lookup(SERVICE.TABLES),
        objects: lookup(SERVICE.OBJECTS),
        peers: lookup(SERVICE.PEER_POOL),
        server: lookup(SERVICE.PEER_SERVER),
        membership: lookup(SERVICE.MEMBERSHIP),
      });
      return { service: configuration, stop: () => configuration.stop() };
    },
  };
}
