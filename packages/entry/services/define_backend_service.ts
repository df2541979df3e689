import type { AnyServiceDefinition } from "@jaypass/kernel";
import { createBackendClients } from "../create_backend_clients.ts";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/**
 * Defines the clients of engines and plain services.
 *
 * @param context clock and metrics of the process
 * @returns a definition for the kernel
 */
export function defineBackendService(context: ProcessContext): AnyServiceDefinition {
  return {
    name: SERVICE.BACKENDS,
    needs: [],
    start: () => {
      const backends = createBackendClients(context);
      return { service: backends, stop: () => backends.close() };
    },
  };
}
