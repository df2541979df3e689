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
  /** Random numbers for the jitter of the intervals. */
  random: RandomSource;
  /** Reports whether this process should take the lease over when it is free or has lapsed. */
  isCandidate: () => boolean;
  /** Sends `Leases.Relinquish` to an earlier holder. */
  askHolder: AskHolder;
  /**
   * Collects the work that is running on the pool's backend servers. It is awaited before the share
   * of an earlier holder is used, because work that this holder granted may still be running.
   * Without it the share is used at once.
   */
  collectWork?: (signal: AbortSignal) => Promise<void>;
  /** Called after a change of mode, holder or shares; the lease returns the new state. */
  onChange: (lease: Lease) => void;
  log: Logger;
  metrics: Metrics;
  /** Renewer that the leases of this process share; without it, the lease creates its own. */
  renewer?: LeaseRenewer;
  /** Shorter times for tests; ignored with a shared renewer, which has its own times. */
  timing?: LeaseTiming;
}

/**
 * Creates a lease, which this process holds or watches.
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
    refresh: () => void (managed.isReadRequested = true),
    retained: () => state.holding()?.reservedHolders ?? [],
    async release() {
      const ended = state.end();
      renewer.remove(managed);
      reportChange();
      if (ended === undefined) return;
      const isConfirmed = await releaseRow(ended, { name, table, self, timing });
      metrics.increment("leases.release", { outcome: isConfirmed ? "done" : "unknown" });
    },
    relinquish: (request) => handleRelinquish(request, { self, lease: managed }),
    async stop() {
      state.end();
      renewer.remove(managed);
      if (options.renewer === undefined) await renewer.stop();
    },
  };

  let lastReported = "";
  const reportChange = () => {
    const { holder, mode, fencing, retained } = lease;
    const fields = { mode: mode(), fencing: fencing(), holder: holder(), retained: retained() };
    const next = JSON.stringify(fields);
    if (next === lastReported) return;
    lastReported = next;
    log.info({ lease: name, ...fields }, "Lease changed");
    onChange(lease);
  };
  const collectWork = options.collectWork ?? (() => Promise.resolve());
  const managed: ManagedLease = {
    ...{ name, state, askHolder, collectWork, isCandidate, reportChange },
    isReadRequested: false,
  };
  renewer.add(managed);
  return lease;
}
