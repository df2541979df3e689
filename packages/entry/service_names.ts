import type { AdmissionService } from "@jaypass/admission";
import type { ManagedConfiguration } from "@jaypass/configuration";
import type { EngineClient, ServiceClient } from "@jaypass/engines";
import type { CallLedger } from "@jaypass/idempotency";
import { serviceName } from "@jaypass/kernel";
import type { Drain, Membership } from "@jaypass/membership";
import type { PeerPool, PeerServer } from "@jaypass/peers";
import type { HostListClient, ObjectClient, TableClient } from "@jaypass/store_clients";
import type { Router } from "@jaypass/routing";
import type { LeaseFactory } from "./services/define_lease_service.ts";
import type { HttpServer } from "./http/create_http_server.ts";

/** Clients of engines and plain services, one for each address. */
export interface BackendClients {
  engineFor(url: string): EngineClient;
  serviceFor(url: string): ServiceClient;
}

/** Names of the services of an entry host, by which they find each other. */
export const SERVICE = {
  TABLES: serviceName<TableClient>("platform.tables"),
  OBJECTS: serviceName<ObjectClient>("platform.objects"),
  HOST_LIST: serviceName<HostListClient>("platform.host_list"),
  PEER_SERVER: serviceName<PeerServer>("peers.server"),
  PEER_POOL: serviceName<PeerPool>("peers.pool"),
  PEER_LISTENER: serviceName<string>("peers.listener"),
  MEMBERSHIP: serviceName<Membership>("membership"),
  CONFIGURATION: serviceName<ManagedConfiguration>("configuration"),
  LEASES: serviceName<LeaseFactory>("leases"),
  BACKENDS: serviceName<BackendClients>("engines.clients"),
  ADMISSION: serviceName<AdmissionService>("admission"),
  LEDGER: serviceName<CallLedger>("idempotency.ledger"),
  ROUTER: serviceName<Router>("routing"),
  DRAIN: serviceName<Drain>("membership.drain"),
  HTTP_SERVER: serviceName<HttpServer>("entry.front"),
} as const;
