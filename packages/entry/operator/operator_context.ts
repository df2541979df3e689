import type { AdmissionService } from "@jaypass/admission";
import type { AdministrationToken, Configuration } from "@jaypass/configuration";
import type { CallLedger } from "@jaypass/idempotency";
import type { Drain, Membership } from "@jaypass/membership";
import type { PeerPool, PeerServer } from "@jaypass/peers";
import type { TableClient } from "@jaypass/store_clients";
import type { Router } from "@jaypass/routing";
import type { ProcessContext } from "../process_context.ts";

/** Services that the operator handlers share. */
export interface OperatorContext extends ProcessContext {
  configuration: Configuration;
  membership: Membership;
  peers: PeerPool;
  server: PeerServer;
  tables: TableClient;
  admission: AdmissionService;
  ledger: CallLedger;
  router: Router;
  drain: Drain;
  tokens: readonly AdministrationToken[];
}
