import type { AnyServiceDefinition } from "@jaypass/kernel";
import { createDrain, createMembership } from "@jaypass/membership";
import { createPeerPool, createPeerServer } from "@jaypass/peers";
import type { ProcessContext } from "../process_context.ts";
import { readTls } from "../read_tls.ts";
import { SERVICE } from "../service_names.ts";

/** Time that running calls of other hosts get when the server stops. */
const PEER_STOP_GRACE_MS = 1_000;

/**
 * Defines the connections to other hosts, the view of them and the drain.
 *
 * The peer server starts to listen as a service of its own, which is started after every service
 * that registers a handler.
 *
 * @param context settings and the process's clock, log and metrics
 * @returns definitions for the kernel
 */
export function definePeerServices(context: ProcessContext): AnyServiceDefinition[] {
  const { settings } = context;
  const tls = readTls(settings.tls);
  return [
    {
      name: SERVICE.PEER_SERVER,
      needs: [],
      start: () => {
        const server = createPeerServer({ ...context, listen: settings.peerListen, tls });
        return { service: server, stop: () => server.stop(PEER_STOP_GRACE_MS) };
      },
    },
    {
      name: SERVICE.PEER_POOL,
      needs: [],
      start: () => {
        const pool = createPeerPool({ ...context, tls });
        return { service: pool, stop: () => pool.close() };
      },
    },
    {
      name: SERVICE.MEMBERSHIP,
      needs: [SERVICE.PEER_SERVER, SERVICE.PEER_POOL, SERVICE.HOST_LIST],
      start: async (lookup) => {
        const membership = createMembership({
          ...context,
          self: {
            id: settings.host,
            incarnation: context.incarnation,
            dataCentre: settings.dataCentre,
            peerAddress: settings.peerListen,
            callerUrl: `http://${settings.callerListen}`,
          },
          hostList: lookup(SERVICE.HOST_LIST),
          peers: lookup(SERVICE.PEER_POOL),
          server: lookup(SERVICE.PEER_SERVER),
        });
        await membership.start();
        return { service: membership, stop: () => membership.stop() };
      },
    },
    {
      name: SERVICE.DRAIN,
      needs: [SERVICE.MEMBERSHIP],
      start: (lookup) => ({
        service: createDrain({ ...context, membership: lookup(SERVICE.MEMBERSHIP) }),
      }),
    },
  ];
}
