import { createAdministration } from "@jaypass/configuration";
import type { AnyServiceDefinition } from "@jaypass/kernel";
import { createHttpServer } from "../http/create_http_server.ts";
import { createOperatorHandler } from "../operator/create_operator_handler.ts";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/**
 * Defines the listeners: first for other hosts, then for callers and operators.
 *
 * Both start last, after every handler is registered.
 *
 * @param context settings and the process's clock, log and metrics
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
        const shared = {
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
          ...shared,
          tokens,
          peers: lookup(SERVICE.PEER_POOL),
          server: lookup(SERVICE.PEER_SERVER),
          tables: lookup(SERVICE.TABLES),
          admission: lookup(SERVICE.ADMISSION),
          ledger: lookup(SERVICE.LEDGER),
        });
        const front = createHttpServer({ ...shared, mounted: [administration, operators] });
        await front.listen();
        return { service: front, stop: () => front.stop() };
      },
    },
  ];
}
