import { createAdmission } from "@jaypass/admission";
import { createEngineClient, createServiceClient } from "@jaypass/engines";
import type { AnyServiceDefinition } from "@jaypass/kernel";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/**
 * Defines the admission service: the coordinators on this host and the client of all coordinators.
 *
 * @param context clock, log and metrics of the process
 * @returns a definition for the kernel
 */
export function defineAdmissionService(context: ProcessContext): AnyServiceDefinition {
  return {
    name: SERVICE.ADMISSION,
    needs: [
      SERVICE.CONFIGURATION,
      SERVICE.MEMBERSHIP,
      SERVICE.PEER_POOL,
      SERVICE.PEER_SERVER,
      SERVICE.LEASES,
      SERVICE.TABLES,
    ],
    start: (lookup) => {
      const leases = lookup(SERVICE.LEASES);
      const admission = createAdmission({
        ...context,
        configuration: lookup(SERVICE.CONFIGURATION),
        membership: lookup(SERVICE.MEMBERSHIP),
        peers: lookup(SERVICE.PEER_POOL),
        server: lookup(SERVICE.PEER_SERVER),
        table: lookup(SERVICE.TABLES),
        createLease: leases.create,
        createProbe: (server) =>
          server.kind === "engine"
            ? createEngineClient(server.url, context)
            : createServiceClient(server.url, context),
      });
      return { service: admission, stop: () => admission.stop() };
    },
  };
}
