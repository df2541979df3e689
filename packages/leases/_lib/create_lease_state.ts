import type { Clock, Millis } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import { computeAllowance } from "../compute_allowance.ts";
import { LEASE_MODE } from "../types.ts";
import type { LeaseHolder, LeaseMode, LeaseRow, LeaseTiming } from "../types.ts";
import { holderKey, isSameHolder, isSameOrEarlier } from "./lease_holder.ts";

/** A holding of this process; a new object for each takeover. */
export interface Holding {
  row: LeaseRow;
  version: number;
  /** Earlier holders whose shares are not used, which may have left the row already. */
  reservedHolders: readonly LeaseHolder[];
  validUntilMs: Millis;
  /** Version that a read must have reached after a conflict; 0 when no read is needed. */
  minReadVersion: number;
  /** When the shares of earlier holders may be used again, by holder. */
  reclaimAtMs: Map<string, Millis>;
}

/** A write of the lease row that depends on its version. */
export interface LeaseWrite {
  version: number;
  row: LeaseRow;
}

/** What a lease state needs to know. */
export interface LeaseStateOptions {
  self: LeaseHolder;
  clock: Clock;
  timing: LeaseTiming;
  isCandidate: () => boolean;
}

/** Creates the state of one lease: the own holding and what was last read of the row. */
export function createLeaseState(options: LeaseStateOptions) {
  const { self, clock, timing, isCandidate } = options;
  let holding: Holding | undefined;
  let seen: { row: LeaseRow | undefined; version: number; sinceMs: Millis } | undefined;
  /** Holdings below this fencing number were given up towards another host. */
  let relinquishedBelow = 0;

  const see = (row: LeaseRow | undefined, version: number) => {
    seen = { row, version, sinceMs: clock.nowMs() };
  };

  return {
    holding: () => holding,
    holder: () => holding ? self : seen?.row?.holder,
    mode(): LeaseMode {
      if (holding === undefined) return LEASE_MODE.NONE;
      const nowMs = clock.nowMs();
      if (nowMs < holding.validUntilMs - timing.dispatchWindowMs) return LEASE_MODE.HELD;
      return nowMs < holding.validUntilMs + timing.retainedMaxMs
        ? LEASE_MODE.RETAINED
        : LEASE_MODE.NONE;
    },
    allow(limit: number): number {
      const mode = this.mode();
      if (holding === undefined || mode === LEASE_MODE.NONE) return 0;
      const allowance = computeAllowance(limit, holding.reservedHolders.length);
      return mode === LEASE_MODE.HELD ? allowance.held : allowance.retained;
    },
    validMs: () =>
      holding === undefined
        ? 0
        : Math.max(0, holding.validUntilMs - timing.dispatchWindowMs - clock.nowMs()),

    /** The next renewal, without the shares that may be used again. */
    nextRenewal(): LeaseWrite | undefined {
      if (holding === undefined || holding.minReadVersion > 0) return undefined;
      const { row, version, reclaimAtMs } = holding;
      const nowMs = clock.nowMs();
      const retained = row.retained.filter((holder) =>
        nowMs < (reclaimAtMs.get(holderKey(holder)) ?? Infinity)
      );
      return { version, row: { ...row, retained } };
    },
    /** Applies a confirmed renewal of `renewed`, which was sent at `sentMs`. */
    applyRenewal(renewed: Holding, write: LeaseWrite, version: number, sentMs: Millis): void {
      if (renewed !== holding) return;
      holding.row = write.row;
      holding.version = version;
      holding.validUntilMs = sentMs + timing.validMs;
    },
    /** Asks for a read of the row after a conflict, which tells whether the lease was lost. */
    markConflict(conflicted: Holding, version: number): void {
      if (conflicted === holding) holding.minReadVersion = Math.max(1, version);
    },

    /** Takes note of a read of the row. */
    observe(row: Row<LeaseRow> | undefined): void {
      const version = row?.version ?? 0;
      if (holding !== undefined) {
        // A read below the version of the conflict is from the past.
        if (holding.minReadVersion === 0 || version < holding.minReadVersion) return;
        if (
          isSameHolder(row?.value.holder, self) && row?.value.fencing === holding.row.fencing
        ) {
          // A renewal with a lost answer or an operator wrote the row; the holding goes on. The
          // validity does not start again, because nobody knows when the write took effect.
          holding.row = row.value;
          holding.version = version;
          holding.minReadVersion = 0;
          return;
        }
        holding = undefined;
      }
      if (seen === undefined || version > seen.version) see(row?.value, version);
    },
    /** The takeover that this process may try now. */
    nextTakeover(): LeaseWrite | undefined {
      const nowMs = clock.nowMs();
      if (holding || seen === undefined || !isCandidate()) return undefined;
      const { row, version, sinceMs } = seen;
      // The version of a row that has not been read yet is known from a conflict only.
      if (version !== 0 && row === undefined) return undefined;
      const earlier = row?.holder;
      const mustWait = earlier !== undefined && !isSameOrEarlier(earlier, self);
      if (mustWait && nowMs - sinceMs < timing.takeoverMs) return undefined;
      const retained = [...row?.retained ?? [], ...earlier ? [earlier] : []]
        .filter((holder) => !isSameOrEarlier(holder, self));
      return { version, row: { holder: self, fencing: (row?.fencing ?? 0) + 1, retained } };
    },
    /** Applies a confirmed takeover that was sent at `sentMs`. */
    applyTakeover(write: LeaseWrite, version: number, sentMs: Millis): void {
      // The answer may arrive after a pause in which the holding was already given up.
      if (holding !== undefined || write.row.fencing < relinquishedBelow) return;
      const reclaimMs = clock.nowMs() + timing.retainedMaxMs + timing.reclaimMarginMs;
      holding = {
        row: write.row,
        version,
        reservedHolders: write.row.retained,
        validUntilMs: sentMs + timing.validMs,
        minReadVersion: 0,
        reclaimAtMs: new Map(write.row.retained.map((holder) => [holderKey(holder), reclaimMs])),
      };
      seen = undefined;
    },
    /** Another process wrote the row first; its content is read in the next round. */
    markTakeoverConflict(version: number): void {
      see(undefined, version - 1);
    },
    /** An earlier holder stopped; its share may be used after the dispatch window. */
    markHolderStopped(of: Holding, holder: LeaseHolder): void {
      const atMs = clock.nowMs() + timing.dispatchWindowMs;
      const knownMs = of.reclaimAtMs.get(holderKey(holder)) ?? Infinity;
      of.reclaimAtMs.set(holderKey(holder), Math.min(knownMs, atMs));
    },
    /** Reports whether shares have left the row that are not used yet. */
    isReclaimDue: () =>
      holding !== undefined && holding.reservedHolders.length > holding.row.retained.length,
    /** Uses the shares that had left the row before the running work was collected. */
    applyReclaim(of: Holding, retainedBefore: readonly LeaseHolder[]): void {
      if (of === holding) holding.reservedHolders = retainedBefore;
    },
    /**
     * Ends the own holding for good and returns what a release has to write.
     *
     * A takeover whose answer is still on its way does not bring it back.
     */
    end(): Holding | undefined {
      const ended = holding;
      this.relinquishBelow(Infinity);
      return ended;
    },
    /** Drops a holding below a fencing number; later answers of the store cannot bring it back. */
    relinquishBelow(fencing: number): void {
      relinquishedBelow = Math.max(relinquishedBelow, fencing);
      if (holding !== undefined && holding.row.fencing < fencing) holding = undefined;
    },
  };
}

/** State of one lease. */
export type LeaseState = ReturnType<typeof createLeaseState>;
