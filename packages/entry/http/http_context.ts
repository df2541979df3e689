import type { ConnectionMemory, MemoryBudget } from "@jaypass/client_limits";
import type { Configuration } from "@jaypass/configuration";
import type { Clock, Logger, Metrics } from "@jaypass/kernel";
import type { Drain, Membership } from "@jaypass/membership";
import type { Router } from "@jaypass/routing";
import type { Settings } from "../settings.ts";

/** Services that the HTTP handlers share. */
export interface HttpContext {
  settings: Settings;
  clock: Clock;
  configuration: Configuration;
  membership: Membership;
  router: Router;
  drain: Drain;
  log: Logger;
  metrics: Metrics;
}

/** What the handler of a request needs besides the services. */
export interface RequestContext extends HttpContext {
  /** Budget of all bodies of the host. */
  bodies: MemoryBudget;
  /** Memory of the connection that the request came on. */
  memory: ConnectionMemory;
}
