import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { TableClient } from "@jaypass/store_clients";
import { handleRelinquish } from "./_lib/handle_relinquish.ts";
import type { ManagedLease } from "./_lib/create_lease_rounds.ts";
import { createLeaseState } from "./_lib/create_lease_state.ts";
import { releaseRow } from "./_lib/release_row.ts";
import { createLeaseRenewer } from "./create_lease_renewer.ts";
import type { LeaseRenewer } from "./create_lease_renewer.ts";
import type { AskHolder, Lease, LeaseHolder, LeaseTiming } from "./types.ts";

/** Options of {@linkcode createLease}. */
export interface LeaseOptions {
  /** Key of the lease row. */
  name: string;
  table: TableClient;
  /** This process. */
  self: LeaseHolder;
  clock: Clock;
  /** Jitter of the periods. */
  random: RandomSource;
  /** Reports whether this process should take the lease over when it is free or lapsed. */
  isCandidate: () => boolean;
  /** Sends `Leases.Relinquish` to an earlier holder. */
  askHolder: AskHolder;
  /**
   * Collects the running work on the pool's engines; awaited before the share of an earlier holder
   * is used, because work that it granted may still run. Without it the share is used at once.
   */
  collectWork?: (signal: AbortSignal) => Promise<void>;
  /** Called after a change of mode, holder or shares; read the lease for the new state. */
  onChange: (lease: Lease) => void;
  log: Logger;
  metrics: Metrics;
  /** Renewer shared by the leases of this process; without one the lease has its own. */
  renewer?: LeaseRenewer;
  /** Shorter times for tests; ignored with a shared renewer, which has its own. */
  timing?: LeaseTiming;
}

/**
 * Creates a lease that this process holds or watches.
 *
 * @param options name, store, process and callbacks
 * @returns the lease; its mode is read from the clock at each call
 *
 * @example
 * const lease = createLease({ name: "pool/model-a@gent", renewer, ...options });
 * const slots = lease.allow(64);
 */
export function createLease(options: LeaseOptions): Lease {
  const { name, askHolder, isCandidate, onChange, log, metrics } = options;
  const renewer = options.renewer ?? createLeaseRenewer(options);
  const { self, clock, table, timing } = renewer;
  const state = createLeaseState({ self, clock, timing, isCandidate });

  const lease: Lease = {
    name,
    mode: () => state.mode(),
    fencing: () => state.holding()?.row.fencing ?? 0,
    allow: (limit) => state.allow(limit),
    validMs: () => state.validMs(),
    holder: () => state.holder(),
    refresh: () => void (member.isReadRequested = true),
    retained: () => state.holding()?.reservedHolders ?? [],
    async release() {
      const ended = state.end();
      renewer.remove(member);
      reportChange();
      if (ended === undefined) return;
      const isConfirmed = await releaseRow(ended, { name, table, self, timing });
      metrics.increment("leases.release", { outcome: isConfirmed ? "done" : "unknown" });
    },
    relinquish: (request) => handleRelinquish(request, { self, member }),
    async stop() {
      state.end();
      renewer.remove(member);
      if (options.renewer === undefined) await renewer.stop();
    },
  };

  let reported = "";
  const reportChange = () => {
    const { holder, mode, fencing, retained } = lease;
    const fields = { mode: mode(), fencing: fencing(), holder: holder(), retained: retained() };
    const next = JSON.stringify(fields);
    if (next === reported) return;
    reported = next;
    log.info({ lease: name, ...fields }, "Lease changed");
    onChange(lease);
  };
  const collectWork = options.collectWork ?? (() => Promise.resolve());
  const member: ManagedLease = {
    ...{ name, state, askHolder, collectWork, isCandidate, reportChange },
    isReadRequested: false,
  };
  renewer.add(member);
  return lease;
}
