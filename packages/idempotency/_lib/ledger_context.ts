import type { Clock, Logger, Metrics, Millis, RandomSource, TaskGroup } from "@jaypass/kernel";
import type { TableClient } from "@jaypass/store_clients";
import type { AskHost, CallOwner, LedgerTiming } from "../types.ts";
import type { ActiveAttempts } from "./create_active_attempts.ts";
import type { RecordStore } from "./create_record_store.ts";
import type { ResultStore } from "./create_result_store.ts";

/** Dependencies and state shared by the parts of a ledger. */
export interface LedgerContext {
  table: TableClient;
  records: RecordStore;
  results: ResultStore;
  self: CallOwner;
  clock: Clock;
  random: RandomSource;
  askHost: AskHost;
  isHostGone: (owner: CallOwner) => boolean;
  metrics: Metrics;
  log: Logger;
  timing: LedgerTiming;
  /** Tasks for background settlements and clean-up. */
  tasks: TaskGroup;
  /** Attempts of this process that may still send or write. */
  active: ActiveAttempts;
  /** Returns a new attempt id, unique over hosts and processes. */
  newAttempt(): string;
}

/** Time limits of one call. */
export interface CallLimits {
  /** Monotonic time of the caller's deadline. */
  endMs: Millis;
  /** Aborted at the deadline or when the caller goes away. */
  signal: AbortSignal;
}
