import type { AnyServiceDefinition } from "@jaypass/kernel";
import { createRouter } from "@jaypass/routing";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/**
 * Defines the router. Stopping it waits until all requests have ended.
 *
 * @param context clock, log and metrics of the process
 * @returns a definition for the kernel
 */
export function defineRouterService(context: ProcessContext): AnyServiceDefinition {
  return {
    name: SERVICE.ROUTER,
    needs: [
      SERVICE.ADMISSION,
      SERVICE.CONFIGURATION,
      SERVICE.MEMBERSHIP,
      SERVICE.PEER_POOL,
      SERVICE.PEER_SERVER,
      SERVICE.LEDGER,
      SERVICE.BACKENDS,
    ],
    start: (lookup) => {
      const router = createRouter({
        ...context,
        ...lookup(SERVICE.BACKENDS),
        admission: lookup(SERVICE.ADMISSION),
        configuration: lookup(SERVICE.CONFIGURATION),
        membership: lookup(SERVICE.MEMBERSHIP),
        peers: lookup(SERVICE.PEER_POOL),
        server: lookup(SERVICE.PEER_SERVER),
        ledger: lookup(SERVICE.LEDGER),
      });
      return { service: router, stop: () => router.drain() };
    },
  };
}
