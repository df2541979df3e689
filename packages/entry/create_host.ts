import { createKernel } from "@jaypass/kernel";
import type { Kernel } from "@jaypass/kernel";
import type { ProcessContext } from "./process_context.ts";
import { defineAdmissionService } from "./services/define_admission_service.ts";
import { defineBackendService } from "./services/define_backend_service.ts";
import { defineConfigurationService } from "./services/define_configuration_service.ts";
import { defineListenerServices } from "./services/define_listener_services.ts";
import { defineLeaseService } from "./services/define_lease_service.ts";
import { defineLedgerService } from "./services/define_ledger_service.ts";
import { definePeerServices } from "./services/define_peer_services.ts";
import { definePlatformServices } from "./services/define_platform_services.ts";
import { defineRouterService } from "./services/define_router_service.ts";

/**
 * Creates the kernel of an entry host with all its services.
 *
 * @param context settings and the process's clock, random source, log and metrics
 * @returns the kernel, not yet started
 * @throws {SettingsError} when a key file cannot be read
 *
 * @example
 * const kernel = createHost({ settings, incarnation, clock, random: Math.random, log, metrics, ... });
 * await kernel.start();
 */
export function createHost(context: ProcessContext): Kernel {
  return createKernel([
    ...definePlatformServices(context),
    ...definePeerServices(context),
    defineConfigurationService(context),
    defineLeaseService(context),
    defineBackendService(context),
    defineAdmissionService(context),
    defineLedgerService(context),
    defineRouterService(context),
    ...defineListenerServices(context),
  ]);
}
