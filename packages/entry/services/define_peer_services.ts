import type { AnyServiceDefinition } from "@jaypass/kernel";
import { createDrain, createMembership } from "@jaypass/membership";
import { createPeerPool, createPeerServer } from "@jaypass/peers";
import { STOP_TIMEOUT_MS } from "../constants.ts";
import type { ProcessContext } from "../process_context.ts";
import { readTls } from "../read_tls.ts";
import { SERVICE } from "../service_names.ts";

/** Time allowed for running calls of other hosts to finish when the server stops. */
const PEER_STOP_GRACE_MS = 1_000;

/**
 * Defines the peer server, the connections to other hosts, membership and the drain.
 *
 * The peer server does not listen yet: a separate service starts its listener after all services
 * that register handlers have started.
 *
 * @param context settings, clock, log and metrics of the process
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
        service: createDrain({
          ...context,
          membership: lookup(SERVICE.MEMBERSHIP),
          maxDrainMs: settings.stopGraceMs - STOP_TIMEOUT_MS,
        }),
      }),
    },
  ];
}
