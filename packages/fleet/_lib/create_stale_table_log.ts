import { ESSENTIAL } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import { computeStaleMs } from "../compute_stale_ms.ts";
import type { HubState } from "../create_hub_client.ts";
import { TABLE } from "../types.ts";
import type { Table, TableAge } from "../types.ts";

/** Options of {@linkcode createStaleTableLog}. */
export interface StaleTableLogOptions {
  /** Age of this host's copy of a table. */
  ageOf: (table: Table) => TableAge;
  /** Describes the links to the hubs. */
  describeHubs: () => { isHub: boolean; hubs: HubState[] };
  /** Monotonic time source. */
  clock: Clock;
  /** Receives a line when a table becomes stale, and one when it is current again. */
  log: Logger;
  /** Receives the gauge `table_age_ms`. */
  metrics: Metrics;
}

/**
 * Creates the log of tables that are too old. `hubAgeMs` and the time since each hub was heard tell
 * whether the hubs do not read the store or their messages do not arrive.
 *
 * @param options ages and links of the host
 * @returns the function that checks the ages, to be called periodically
 */
export function createStaleTableLog(options: StaleTableLogOptions): () => void {
  const { ageOf, clock, log, metrics } = options;
  const startMs = clock.nowMs();
  const staleSinceMs = new Map<Table, Millis>();

  const check = (table: Table) => {
    const now = clock.nowMs();
    const age = ageOf(table);
    // A table that was never read is as old as this process.
    const ageMs = Math.round(Math.min(age.ageMs, now - startMs));
    metrics.gauge("table_age_ms", ageMs, { table });
    const sinceMs = staleSinceMs.get(table);
    const isStale = ageMs >= computeStaleMs(table);
    if (isStale === (sinceMs !== undefined)) return;
    if (sinceMs !== undefined) {
      staleSinceMs.delete(table);
      const lengthMs = Math.round(now - sinceMs);
      log.info({ table, lengthMs, [ESSENTIAL]: true }, "Copy of a table is current again");
      return;
    }
    staleSinceMs.set(table, now);
    metrics.increment("stale_table", { table });
    const hubAgeMs = Number.isFinite(age.hubAgeMs) ? Math.round(age.hubAgeMs) : undefined;
    log.warn({ table, ageMs, hubAgeMs, ...options.describeHubs() }, "Copy of a table is stale");
  };

  return () => Object.values(TABLE).forEach(check);
}
