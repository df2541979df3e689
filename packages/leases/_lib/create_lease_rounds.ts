import type { Clock, Metrics } from "@jaypass/kernel";
import type { Row, TableClient } from "@jaypass/store_clients";
import { IDLE_WATCH_ROUNDS, LEASES_TABLE } from "../constants.ts";
import { LEASE_MODE } from "../types.ts";
import type { AskHolder, LeaseRow, LeaseTiming } from "../types.ts";
import type { Holding, LeaseState, LeaseWrite } from "./create_lease_state.ts";
import { holderKey } from "./lease_holder.ts";

/** A lease that a renewer manages. */
export interface ManagedLease {
  name: string;
  state: LeaseState;
  askHolder: AskHolder;
  /** Collects the running work of earlier holders whose shares have ended. */
  collectWork: (signal: AbortSignal) => Promise<void>;
  isCandidate: () => boolean;
  /** Whether the next watch round must read the row, even if this process is no candidate. */
  isReadRequested: boolean;
  /** Calls `onChange` of the lease if mode, holder or shares changed since the last call. */
  reportChange(): void;
}

/** Options of {@linkcode createLeaseRounds}. */
export interface LeaseRoundsOptions {
  table: TableClient;
  clock: Clock;
  metrics: Metrics;
  timing: LeaseTiming;
}

/** Creates the rounds in which one process renews, watches and reclaims all of its leases. */
export function createLeaseRounds(
  leases: ReadonlyMap<string, ManagedLease>,
  options: LeaseRoundsOptions,
) {
  const { table, clock, metrics, timing } = options;

  const toTransaction = (writes: { lease: ManagedLease; write: LeaseWrite }[]) => ({
    conditions: writes.map(({ lease, write }) => ({
      table: LEASES_TABLE,
      key: lease.name,
      version: write.version,
    })),
    writes: writes.map(({ lease, write }) => ({
      table: LEASES_TABLE,
      key: lease.name,
      value: write.row,
    })),
  });

  const readRows = async (read: ManagedLease[], signal?: AbortSignal): Promise<void> => {
    if (read.length === 0) return;
    const names = read.map((lease) => lease.name);
    const rows = await table.readMany<LeaseRow>(LEASES_TABLE, names, {
      timeoutMs: timing.storeTimeoutMs,
      signal,
    });
    const byName = new Map(rows.map((row): [string, Row<LeaseRow>] => [row.key, row]));
    for (const lease of read) lease.state.observe(byName.get(lease.name));
  };

  let watchRounds = 0;
  const needsRead = (lease: ManagedLease) => (lease.state.holding()?.minReadVersion ?? 0) > 0;

  const reportChanges = () => {
    for (const lease of leases.values()) lease.reportChange();
  };

  /**
   * Renews all held leases in one transaction. After a conflict the transaction is repeated without
   * the lease that caused it, which has to be read again.
   *
   * @returns whether all leases were renewed
   */
  const renewAll = async (signal?: AbortSignal): Promise<boolean> => {
    const skipped = new Set<Holding>();
    for (;;) {
      const batch = [...leases.values()].flatMap((lease) => {
        const holding = lease.state.holding();
        const write = lease.state.nextRenewal();
        return holding && write && !skipped.has(holding) ? [{ lease, holding, write }] : [];
      });
      if (batch.length === 0) return skipped.size === 0;
      const sentMs = clock.nowMs();
      const result = await table.commit(toTransaction(batch), {
        timeoutMs: timing.storeTimeoutMs,
        signal,
      });
      metrics.increment("leases.renewal", { outcome: result.outcome });
      if (result.outcome === "done") {
        for (const { lease, holding, write } of batch) {
          const version = result.versions[`${LEASES_TABLE}/${lease.name}`]!;
          lease.state.applyRenewal(holding, write, version, sentMs);
        }
        return skipped.size === 0;
      }
      if (result.outcome !== "conflict") return false;
      const conflicting = batch.find(({ lease }) => lease.name === result.key);
      if (conflicting === undefined) return false;
      conflicting.lease.state.markConflict(conflicting.holding, result.version);
      skipped.add(conflicting.holding);
    }
  };

  return {
    /** Renews the held leases; returns false when it should be retried soon. */
    async renew(signal?: AbortSignal): Promise<boolean> {
      try {
        await readRows([...leases.values()].filter(needsRead), signal);
        if (await renewAll(signal)) return true;
        await readRows([...leases.values()].filter(needsRead), signal);
        return false;
      } finally {
        reportChanges();
      }
    },

    /** Reads the rows of the other leases in one request and takes over those that have lapsed. */
    async watch(signal?: AbortSignal): Promise<void> {
      try {
        const readsAll = watchRounds++ % IDLE_WATCH_ROUNDS === 0;
        const others = [...leases.values()].filter((lease) =>
          !lease.state.holding() && (readsAll || lease.isReadRequested || lease.isCandidate())
        );
        await readRows(others, signal);
        for (const lease of others) lease.isReadRequested = false;
        for (const lease of others) {
          const write = lease.state.nextTakeover();
          if (write === undefined) continue;
          const sentMs = clock.nowMs();
          const result = await table.commit(toTransaction([{ lease, write }]), {
            timeoutMs: timing.storeTimeoutMs,
            signal,
          });
          metrics.increment("leases.takeover", { outcome: result.outcome });
          if (result.outcome === "done") {
            const version = result.versions[`${LEASES_TABLE}/${lease.name}`]!;
            lease.state.applyTakeover(write, version, sentMs);
          } else if (result.outcome === "conflict") {
            lease.state.markTakeoverConflict(result.version);
          }
        }
      } finally {
        reportChanges();
      }
    },

    /**
     * Makes the shares usable that were removed from the lease rows.
     *
     * Work of an earlier holder may still be running after its share has ended. This process does
     * not know the work that the earlier holder started after the takeover, so it collects the
     * running work first.
     */
    async reclaim(signal: AbortSignal): Promise<void> {
      await Promise.all([...leases.values()].map(async (lease) => {
        const holding = lease.state.holding();
        if (holding === undefined || !lease.state.isReclaimDue()) return;
        const { retained } = holding.row;
        try {
          await lease.collectWork(signal);
          lease.state.applyReclaim(holding, retained);
        } catch {
          metrics.increment("leases.retry", { reason: "collect_work" });
        }
      }));
      reportChanges();
    },

    /** Asks the earlier holders of the held leases to relinquish their shares. */
    async ask(signal: AbortSignal): Promise<void> {
      const requests = [...leases.values()].flatMap((lease) => {
        const holding = lease.state.holding();
        if (holding === undefined || lease.state.mode() !== LEASE_MODE.HELD) return [];
        const mustAsk = (key: string) =>
          (holding.reclaimAtMs.get(key) ?? Infinity) > clock.nowMs() + timing.dispatchWindowMs;
        return holding.row.retained
          .filter((holder) => mustAsk(holderKey(holder)))
          .map((holder) => ({ lease, holding, holder }));
      });
      await Promise.all(requests.map(async ({ lease, holding, holder }) => {
        const request = { name: lease.name, holder, fencing: holding.row.fencing };
        const answer = await lease.askHolder(holder, request, signal).catch(() => "unknown");
        metrics.increment("leases.relinquish", { answer });
        if (answer !== "unknown") lease.state.markHolderStopped(holding, holder);
      }));
    },
  };
}
