import type { Clock, Metrics } from "@jaypass/kernel";
import type { Row, TableClient } from "@jaypass/store_clients";
import { IDLE_WATCH_ROUNDS, LEASES_TABLE } from "../constants.ts";
import { LEASE_MODE } from "../types.ts";
import type { AskHolder, LeaseRow, LeaseTiming } from "../types.ts";
import type { Holding, LeaseState, LeaseWrite } from "./create_lease_state.ts";
import { holderKey } from "./lease_holder.ts";

/** A lease that takes part in the rounds of a renewer. */
export interface ManagedLease {
  name: string;
  state: LeaseState;
  askHolder: AskHolder;
  /** Collects the running work of holders whose shares have ended. */
  collectWork: (signal: AbortSignal) => Promise<void>;
  isCandidate: () => boolean;
  /** Set when somebody needs to know the present holder. */
  isReadRequested: boolean;
  /** Tells the owner about a change of mode, holder or shares since the last call. */
  reportChange(): void;
}

/** What the rounds need. */
export interface LeaseRoundsOptions {
  table: TableClient;
  clock: Clock;
  metrics: Metrics;
  timing: LeaseTiming;
}

/** Creates the rounds in which one process renews, watches and reclaims all of its leases. */
export function createLeaseRounds(
  members: ReadonlyMap<string, ManagedLease>,
  options: LeaseRoundsOptions,
) {
  const { table, clock, metrics, timing } = options;

  const toTransaction = (writes: { member: ManagedLease; write: LeaseWrite }[]) => ({
    conditions: writes.map(({ member, write }) => ({
      table: LEASES_TABLE,
      key: member.name,
      version: write.version,
    })),
    writes: writes.map(({ member, write }) => ({
      table: LEASES_TABLE,
      key: member.name,
      value: write.row,
    })),
  });

  const readInto = async (read: ManagedLease[], signal?: AbortSignal): Promise<void> => {
    if (read.length === 0) return;
    const names = read.map((member) => member.name);
    const rows = await table.readMany<LeaseRow>(LEASES_TABLE, names, {
      timeoutMs: timing.storeTimeoutMs,
      signal,
    });
    const byName = new Map(rows.map((row): [string, Row<LeaseRow>] => [row.key, row]));
    for (const member of read) member.state.observe(byName.get(member.name));
  };

  let watchRounds = 0;
  const needsRead = (member: ManagedLease) => (member.state.holding()?.minReadVersion ?? 0) > 0;

  const reportChanges = () => {
    for (const member of members.values()) member.reportChange();
  };

  /** Renews everything in one transaction; a lease in conflict is left out and read again. */
  const renewAll = async (signal?: AbortSignal): Promise<boolean> => {
    const skipped = new Set<Holding>();
    for (;;) {
      const batch = [...members.values()].flatMap((member) => {
        const holding = member.state.holding();
        const write = member.state.nextRenewal();
        return holding && write && !skipped.has(holding) ? [{ member, holding, write }] : [];
      });
      if (batch.length === 0) return skipped.size === 0;
      const sentMs = clock.nowMs();
      const result = await table.commit(toTransaction(batch), {
        timeoutMs: timing.storeTimeoutMs,
        signal,
      });
      metrics.increment("leases.renewal", { outcome: result.outcome });
      if (result.outcome === "done") {
        for (const { member, holding, write } of batch) {
          const version = result.versions[`${LEASES_TABLE}/${member.name}`]!;
          member.state.applyRenewal(holding, write, version, sentMs);
        }
        return skipped.size === 0;
      }
      if (result.outcome !== "conflict") return false;
      const lost = batch.find(({ member }) => member.name === result.key);
      if (lost === undefined) return false;
      lost.member.state.markConflict(lost.holding, result.version);
      skipped.add(lost.holding);
    }
  };

  return {
    /** Renews the held leases; returns false when a repeat should follow soon. */
    async renew(signal?: AbortSignal): Promise<boolean> {
      try {
        await readInto([...members.values()].filter(needsRead), signal);
        if (await renewAll(signal)) return true;
        await readInto([...members.values()].filter(needsRead), signal);
        return false;
      } finally {
        reportChanges();
      }
    },

    /** Reads the rows of the other leases in one request and takes over those that lapsed. */
    async watch(signal?: AbortSignal): Promise<void> {
      try {
        const isFull = watchRounds++ % IDLE_WATCH_ROUNDS === 0;
        const others = [...members.values()].filter((member) =>
          !member.state.holding() && (isFull || member.isReadRequested || member.isCandidate())
        );
        await readInto(others, signal);
        for (const member of others) member.isReadRequested = false;
        for (const member of others) {
          const write = member.state.nextTakeover();
          if (write === undefined) continue;
          const sentMs = clock.nowMs();
          const result = await table.commit(toTransaction([{ member, write }]), {
            timeoutMs: timing.storeTimeoutMs,
            signal,
          });
          metrics.increment("leases.takeover", { outcome: result.outcome });
          if (result.outcome === "done") {
            const version = result.versions[`${LEASES_TABLE}/${member.name}`]!;
            member.state.applyTakeover(write, version, sentMs);
          } else if (result.outcome === "conflict") {
            member.state.markTakeoverConflict(result.version);
          }
        }
      } finally {
        reportChanges();
      }
    },

    /**
     * Uses the shares that have left the rows.
     *
     * An earlier holder's work may still run after its share has ended, and work that it started
     * after this holder's takeover is not known here, so it is collected first.
     */
    async reclaim(signal: AbortSignal): Promise<void> {
      await Promise.all([...members.values()].map(async (member) => {
        const holding = member.state.holding();
        if (holding === undefined || !member.state.isReclaimDue()) return;
        const { retained } = holding.row;
        try {
          await member.collectWork(signal);
          member.state.applyReclaim(holding, retained);
        } catch {
          metrics.increment("leases.retry", { reason: "collect_work" });
        }
      }));
      reportChanges();
    },

    /** Asks the earlier holders of the held leases to drop their shares. */
    async ask(signal: AbortSignal): Promise<void> {
      const questions = [...members.values()].flatMap((member) => {
        const holding = member.state.holding();
        if (holding === undefined || member.state.mode() !== LEASE_MODE.HELD) return [];
        const isOpen = (key: string) =>
          (holding.reclaimAtMs.get(key) ?? Infinity) > clock.nowMs() + timing.dispatchWindowMs;
        return holding.row.retained
          .filter((holder) => isOpen(holderKey(holder)))
          .map((holder) => ({ member, holding, holder }));
      });
      await Promise.all(questions.map(async ({ member, holding, holder }) => {
        const request = { name: member.name, holder, fencing: holding.row.fencing };
        const answer = await member.askHolder(holder, request, signal).catch(() => "unknown");
        metrics.increment("leases.relinquish", { answer });
        if (answer !== "unknown") member.state.markHolderStopped(holding, holder);
      }));
    },
  };
}
