import type { AnyServiceDefinition } from "@jaypass/kernel";
import {
  createHostListClient,
  createObjectClient,
  createTableClient,
} from "@jaypass/store_clients";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/**
 * Defines the clients of the platform's services.
 *
 * @param context settings, clock, log and metrics of the process
 * @returns definitions for the kernel
 */
export function definePlatformServices(context: ProcessContext): AnyServiceDefinition[] {
  const { settings } = context;
  const options = { ...context, client: settings.host };
  const define = <T extends { close(): Promise<void> }>(
    name: AnyServiceDefinition["name"],
    create: () => T,
  ): AnyServiceDefinition => ({
    name,
    needs: [],
    start: () => {
      const client = create();
      return { service: client, stop: () => client.close() };
    },
  });
  const { tables, objects, hostList } = settings.platform;
  return [
    define(SERVICE.TABLES, () => createTableClient({ ...options, baseUrl: tables })),
    define(SERVICE.OBJECTS, () => createObjectClient({ ...options, baseUrl: objects })),
    define(SERVICE.HOST_LIST, () => createHostListClient({ ...options, baseUrl: hostList })),
  ];
}
