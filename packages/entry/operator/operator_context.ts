import type { AdmissionService } from "@jaypass/admission";
import type { Configuration } from "@jaypass/configuration";
import type { CallLedger } from "@jaypass/idempotency";
import type { Clock, Metrics } from "@jaypass/kernel";
import type { Membership } from "@jaypass/membership";
import type { PeerPool } from "@jaypass/peers";
import type { TableClient } from "@jaypass/platform";
import type { Router } from "@jaypass/routing";
import type { Settings } from "../settings.ts";

/** What the operators' handlers share. */
export interface OperatorContext {
  settings: Settings;
  incarnation: string;
  clock: Clock;
  configuration: Configuration;
  membership: Membership;
  peers: PeerPool;
  tables: TableClient;
  admission: AdmissionService;
  ledger: CallLedger;
  router: Router;
  metrics: Metrics;
  /** Reports whether the host is stopping. */
  isDraining: () => boolean;
}
