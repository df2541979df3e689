import type { Configuration } from "@jaypass/configuration";
import type { Clock, Logger, Metrics } from "@jaypass/kernel";
import type { Drain, Membership } from "@jaypass/membership";
import type { Router } from "@jaypass/routing";
import type { Settings } from "../settings.ts";
import type { BodyBudget } from "./create_body_budget.ts";

/** What the HTTP handlers share. */
export interface HttpContext {
  settings: Settings;
  clock: Clock;
  configuration: Configuration;
  membership: Membership;
  router: Router;
  drain: Drain;
  budget: BodyBudget;
  log: Logger;
  metrics: Metrics;
}
