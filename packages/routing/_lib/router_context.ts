import type { Admission } from "@jaypass/admission";
import type { Configuration } from "@jaypass/configuration";
import type { EngineClient, ServiceClient } from "@jaypass/engines";
import type { CallLedger } from "@jaypass/idempotency";
import type { Clock, Logger, Metrics } from "@jaypass/kernel";
import type { Membership } from "@jaypass/membership";
import type { PeerPool } from "@jaypass/peers";
import type { AnswerStore } from "../create_answer_store.ts";
import type { DecisionLog } from "../create_decision_log.ts";
import type { RetryBudget } from "../create_retry_budget.ts";

/** Services that the modules of the router share. */
export interface RouterContext {
  clock: Clock;
  admission: Admission;
  configuration: Configuration;
  membership: Membership;
  peers: PeerPool;
  ledger: CallLedger;
  engineFor: (url: string) => EngineClient;
  serviceFor: (url: string) => ServiceClient;
  answers: AnswerStore;
  decisions: DecisionLog;
  retryBudget: RetryBudget;
  log: Logger;
  metrics: Metrics;
}
