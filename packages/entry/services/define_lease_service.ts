import { createLease, createLeaseRenewer } from "@jaypass/leases";
import type { AskHolder, Lease, LeaseHolder, LeaseOptions } from "@jaypass/leases";
import type { AnyServiceDefinition } from "@jaypass/kernel";
import type { PeerPool } from "@jaypass/peers";
import { RELINQUISH_METHOD } from "../peer_methods.ts";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/** Creates leases that are renewed together. */
export interface LeaseFactory {
  create(
    name: string,
    options: Pick<LeaseOptions, "isCandidate" | "onChange" | "collectWork">,
  ): Lease;
}

/** Timeout of the call to the previous holder of a lease. */
const RELINQUISH_TIMEOUT_MS = 1_000;

/**
 * Defines the leases of this process.
 *
 * @param context settings, clock, log and metrics of the process
 * @returns a definition for the kernel
 */
export function defineLeaseService(context: ProcessContext): AnyServiceDefinition {
  return {
    name: SERVICE.LEASES,
    needs: [SERVICE.TABLES, SERVICE.PEER_POOL, SERVICE.PEER_SERVER],
    start: (lookup) => {
      const table = lookup(SERVICE.TABLES);
      const { host, peerListen } = context.settings;
      const self: LeaseHolder = { host, incarnation: context.incarnation, address: peerListen };
      const renewer = createLeaseRenewer({ ...context, table, self });
      lookup(SERVICE.PEER_SERVER).handle(
        RELINQUISH_METHOD,
        (request) => Promise.resolve({ answer: renewer.relinquish(request) }),
      );
      const askHolder = createAskHolder(lookup(SERVICE.PEER_POOL));
      const factory: LeaseFactory = {
        create: (name, options) =>
          createLease({ ...context, ...options, name, table, self, askHolder, renewer }),
      };
      return { service: factory, stop: () => renewer.stop() };
    },
  };
}

function createAskHolder(peers: PeerPool): AskHolder {
  return async (holder, request, signal) => {
    try {
      const options = { timeoutMs: RELINQUISH_TIMEOUT_MS, signal };
      const { answer } = await peers.call(holder.address, RELINQUISH_METHOD, request, options);
      return answer;
    } catch {
      return "unknown";
    }
  };
}
