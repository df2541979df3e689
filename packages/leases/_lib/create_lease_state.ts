import type { Clock, Millis } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import { computeAllowance } from "../compute_allowance.ts";
import { LEASE_MODE } from "../types.ts";
import type { LeaseHolder, LeaseMode, LeaseRow, LeaseTiming } from "../types.ts";
import { holderKey, isSameHolder, isSameOrEarlier } from "./lease_holder.ts";

/** Period in which this process holds a lease; each takeover creates a new object. */
export interface Holding {
  row: LeaseRow;
  version: number;
  /**
   * Earlier holders whose shares this process must not use yet. It may still contain holders that
   * are no longer in the row.
   */
  reservedHolders: readonly LeaseHolder[];
  validUntilMs: Millis;
  /** After a conflict, the version that a read must at least have; 0 when no read is needed. */
  minReadVersion: number;
  /** Monotonic time at which the share of an earlier holder may be used again, by holder key. */
  reclaimAtMs: Map<string, Millis>;
}

/** A conditional write of the lease row. */
export interface LeaseWrite {
  /** Version that the stored row must have. */
  version: number;
  row: LeaseRow;
}

/** Options of {@linkcode createLeaseState}. */
export interface LeaseStateOptions {
  self: LeaseHolder;
  clock: Clock;
  timing: LeaseTiming;
  isCandidate: () => boolean;
}

/**
 * Creates the state of one lease: the holding of this process, if any, and the row as last read.
 */
export function createLeaseState(options: LeaseStateOptions) {
  const { self, clock, timing, isCandidate } = options;
  let holding: Holding | undefined;
  let seenRow: { row: LeaseRow | undefined; version: number; sinceMs: Millis } | undefined;
  /** Holdings below this fencing number were relinquished to another process or ended. */
  let relinquishedBelow = 0;

  const setSeenRow = (row: LeaseRow | undefined, version: number) => {
    seenRow = { row, version, sinceMs: clock.nowMs() };
  };

  return {
    holding: () => holding,
    holder: () => holding ? self : seenRow?.row?.holder,
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

    /** Returns the next renewal, which removes from the row the shares that may be used again. */
    nextRenewal(): LeaseWrite | undefined {
      if (holding === undefined || holding.minReadVersion > 0) return undefined;
      const { row, version, reclaimAtMs } = holding;
      const nowMs = clock.nowMs();
      const retained = row.retained.filter((holder) =>
        nowMs < (reclaimAtMs.get(holderKey(holder)) ?? Infinity)
      );
      return { version, row: { ...row, retained } };
    },
    /** Applies a confirmed renewal of the holding `renewed` that was sent at `sentMs`. */
    applyRenewal(renewed: Holding, write: LeaseWrite, version: number, sentMs: Millis): void {
      if (renewed !== holding) return;
      holding.row = write.row;
      holding.version = version;
      holding.validUntilMs = sentMs + timing.validMs;
    },
    /** Requires a read of the row after a conflict, to find out whether the lease was lost. */
    markConflict(conflicted: Holding, version: number): void {
      if (conflicted === holding) holding.minReadVersion = Math.max(1, version);
    },

    /** Applies a read of the row. */
    observe(row: Row<LeaseRow> | undefined): void {
      const version = row?.version ?? 0;
      if (holding !== undefined) {
        // A version below that of the conflict is outdated.
        if (holding.minReadVersion === 0 || version < holding.minReadVersion) return;
        if (
          isSameHolder(row?.value.holder, self) && row?.value.fencing === holding.row.fencing
        ) {
          // The row was written by a renewal with a lost answer or by an operator, so the holding
          // continues. The validity is not extended, because it is unknown when the write took
          // effect.
          holding.row = row.value;
          holding.version = version;
          holding.minReadVersion = 0;
          return;
        }
        holding = undefined;
      }
      if (seenRow === undefined || version > seenRow.version) setSeenRow(row?.value, version);
    },
    /** Returns the takeover that this process may attempt now, if any. */
    nextTakeover(): LeaseWrite | undefined {
      const nowMs = clock.nowMs();
      if (holding || seenRow === undefined || !isCandidate()) return undefined;
      const { row, version, sinceMs } = seenRow;
      // After a conflict the version is known, but the content of the row has not been read yet.
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
      // The answer may arrive late, when this process has already relinquished the holding.
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
      seenRow = undefined;
    },
    /** Handles a takeover that another process preceded; the next round reads the row. */
    markTakeoverConflict(version: number): void {
      setSeenRow(undefined, version - 1);
    },
    /** Records that an earlier holder stopped; its share may be used after the dispatch window. */
    markHolderStopped(of: Holding, holder: LeaseHolder): void {
      const atMs = clock.nowMs() + timing.dispatchWindowMs;
      const knownMs = of.reclaimAtMs.get(holderKey(holder)) ?? Infinity;
      of.reclaimAtMs.set(holderKey(holder), Math.min(knownMs, atMs));
    },
    /** Reports whether shares were removed from the row that this process does not use yet. */
    isReclaimDue: () =>
      holding !== undefined && holding.reservedHolders.length > holding.row.retained.length,
    /**
     * Makes the shares usable that were removed from the row before the running work was collected.
     */
    applyReclaim(of: Holding, retainedBefore: readonly LeaseHolder[]): void {
      if (of === holding) holding.reservedHolders = retainedBefore;
    },
    /**
     * Ends the holding of this process for good and returns it, so that its row can be released.
     *
     * The late answer to a takeover that is still in progress does not restore it.
     */
    end(): Holding | undefined {
      const ended = holding;
      this.relinquishBelow(Infinity);
      return ended;
    },
    /** Drops a holding below a fencing number; a late answer of the store cannot restore it. */
    relinquishBelow(fencing: number): void {
      relinquishedBelow = Math.max(relinquishedBelow, fencing);
      if (holding !== undefined && holding.row.fencing < fencing) holding = undefined;
    },
  };
}

/** State of one lease in this process. */
export type LeaseState = ReturnType<typeof createLeaseState>;
