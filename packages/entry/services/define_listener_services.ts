import { createAdministration } from "@jaypass/configuration";
import type { AnyServiceDefinition } from "@jaypass/kernel";
import { createHttpServer } from "../http/create_http_server.ts";
import { createOperatorHandler } from "../operator/create_operator_handler.ts";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/**
 * Defines the listeners for other hosts and for callers and operators.
 *
 * They start last and in this order, after all handlers have been registered.
 *
 * @param context settings, clock, log and metrics of the process
 * @returns definitions for the kernel
 */
export function defineListenerServices(context: ProcessContext): AnyServiceDefinition[] {
  const { settings } = context;
  const tokens = Object.entries(settings.owners).map(([owner, { tokenHash, sections }]) => ({
    owner,
    hash: tokenHash,
    sections,
  }));
  return [
    {
      name: SERVICE.PEER_LISTENER,
      needs: [SERVICE.PEER_SERVER, SERVICE.ROUTER],
      start: async (lookup) => ({ service: await lookup(SERVICE.PEER_SERVER).listen() }),
    },
    {
      name: SERVICE.HTTP_SERVER,
      needs: [
        SERVICE.PEER_LISTENER,
        SERVICE.ROUTER,
        SERVICE.CONFIGURATION,
        SERVICE.MEMBERSHIP,
        SERVICE.DRAIN,
        SERVICE.ADMISSION,
        SERVICE.LEDGER,
        SERVICE.TABLES,
        SERVICE.OBJECTS,
        SERVICE.PEER_POOL,
        SERVICE.PEER_SERVER,
      ],
      start: async (lookup) => {
        const configuration = lookup(SERVICE.CONFIGURATION);
        const sharedContext = {
          ...context,
          configuration,
          membership: lookup(SERVICE.MEMBERSHIP),
          router: lookup(SERVICE.ROUTER),
          drain: lookup(SERVICE.DRAIN),
        };
        const administration = createAdministration({
          ...context,
          configuration,
          table: lookup(SERVICE.TABLES),
          objects: lookup(SERVICE.OBJECTS),
          tokens,
        });
        const operators = createOperatorHandler({
          ...sharedContext,
          tokens,
          peers: lookup(SERVICE.PEER_POOL),
          server: lookup(SERVICE.PEER_SERVER),
          tables: lookup(SERVICE.TABLES),
          admission: lookup(SERVICE.ADMISSION),
          ledger: lookup(SERVICE.LEDGER),
        });
        const httpServer = createHttpServer({
          ...sharedContext,
          mounted: [administration, operators],
        });
        await httpServer.listen();
        return { service: httpServer, stop: () => httpServer.stop() };
      },
    },
  ];
}
