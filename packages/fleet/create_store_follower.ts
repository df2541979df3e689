import { ESSENTIAL, sleep, sleepUntilTick } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, Millis, RandomSource, TaskGroup } from "@jaypass/kernel";
import { computeStaleMs } from "./compute_stale_ms.ts";
import {
  FLEET_TICK_MS,
  OUTAGE_MIN_MS,
  STORE_RECOVERY_GRACE_MS,
  STORE_RETRY_MS,
  STORE_TIMEOUT_MS,
  TABLE_POLL,
} from "./constants.ts";
import { decodeRevision } from "./decode_revision.ts";
import { HistoryLostError, STORE_FAILURE } from "./errors.ts";
import type { StoreError } from "./errors.ts";
import { TABLE } from "./types.ts";
import type { RowBatch, RowStore, Table } from "./types.ts";

/** Options of {@linkcode createStoreFollower}. */
export interface StoreFollowerOptions {
  /** The store. */
  store: RowStore;
  /** Monotonic time source. */
  clock: Clock;
  /** Source of random numbers, for the jitter of retry delays. */
  random: RandomSource;
  /** Logs store failures and recoveries. */
  log: Logger;
  /** Counts store calls and failures. */
  metrics: Metrics;
  /** Runs one task for each table. */
  tasks: TaskGroup;
  /** True while this host has to read a table itself. */
  shouldFollow: (table: Table) => boolean;
  /** Revision after which to read the changes of a table; undefined to read the whole table. */
  revision: (table: Table) => number | undefined;
  /** Reports whether rows of a table have not been seen since the store came back from a copy. */
  hasUnconfirmedRows?: (table: Table) => boolean;
  /**
   * Receives each batch that was read.
   *
   * @param origin `isConfirmation`: true for a whole table that shows which rows a restored store has
   * not got back
   */
  onBatch: (table: Table, batch: RowBatch, origin: { isConfirmation: boolean }) => void;
  /** Called after each read of a table, once its batch was passed to `onBatch`. */
  onRead: (table: Table, batch: RowBatch) => void;
}

/** State of a host's own connection to the store. */
export interface StoreFollower {
  /** Milliseconds since this host last read a table; Infinity when it never did. */
  ageMs(table: Table): Millis;
  /** Milliseconds since the last outage of the store ended; Infinity when there was none. */
  recoveredAgoMs(): Millis;
}

/**
 * Keeps a host up to date with the tables of the store, with one long-polling task for each table.
 * A task is idle while `shouldFollow` returns false.
 *
 * After the store has come back from a copy, a table is read whole once more when its writers have had
 * time to write again what the copy lacked.
 *
 * @param options store, callbacks and time source
 * @returns the state of the connection to the store
 *
 * @example
 * const follower = createStoreFollower({ store, shouldFollow: () => true, ... });
 */
export function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
  const { store, clock, random, log, metrics, tasks } = options;
  const { hasUnconfirmedRows = () => false } = options;
  const readAtMs = new Map<Table, Millis>();
  /** Era of the store in which each table was last read, since when, and whether it was read again. */
  const eras = new Map<Table, { era: number; sinceMs: Millis; isConfirmed: boolean }>();
  let failingSinceMs: Millis | undefined;
  let recoveredAtMs = -Infinity;
  /** Tables whose last read failed. */
  const failing = new Map<Table, { count: number; lastMs: Millis }>();
  /** Time from which on the store is tried again while the reads of all tables fail. */
  let nextTryMs = -Infinity;

  const ageMs = (table: Table) => clock.nowMs() - (readAtMs.get(table) ?? -Infinity);

  const onSuccess = (table: Table) => {
    const now = clock.nowMs();
    readAtMs.set(table, now);
    failing.delete(table);
    if (failingSinceMs === undefined) return;
    const lengthMs = now - failingSinceMs;
    failingSinceMs = undefined;
    if (lengthMs < OUTAGE_MIN_MS) return;
    recoveredAtMs = now;
    log.info({ table, lengthMs: Math.round(lengthMs), [ESSENTIAL]: true }, "Store outage ended");
  };

  const onFailure = (table: Table, err: unknown) => {
    const { reason } = err as Partial<StoreError>;
    metrics.increment("store_failure", { table, reason: reason ?? STORE_FAILURE.OTHER });
    const now = clock.nowMs();
    failingSinceMs ??= now;
    const count = (failing.get(table)?.count ?? 0) + 1;
    failing.set(table, { count, lastMs: now });
    if (count > 1) return;
    const { cause } = err as Error;
    log.warn(
      { table, reason, err: String(err), cause: cause && String(cause) },
      "Store call failed; retrying",
    );
  };

  /**
   * Whether a table is read now. While the reads of all tables fail, one after another is tried, because
   * failing calls load the store as well. A table that fails alone does not hold up the others.
   */
  const mayRead = (table: Table) => {
    const own = failing.get(table);
    if (own === undefined) return true;
    const followed = Object.values(TABLE).filter(options.shouldFollow);
    if (followed.some((other) => !failing.has(other))) return true;
    const isNext = followed.every((other) =>
      own.lastMs <= (failing.get(other)?.lastMs ?? Infinity)
    );
    return isNext && clock.nowMs() >= nextTryMs;
  };

  const retryDelayMs = (table: Table) => {
    const { count = 0 } = failing.get(table) ?? {};
    const limitMs = Math.min(STORE_RETRY_MS.max, STORE_RETRY_MS.min * 2 ** count);
    return limitMs * (0.5 + random() / 2);
  };

  /** Whether a table has to be read whole to learn which rows a restored store does not have any more. */
  const isConfirmationDue = (table: Table): boolean => {
    const revision = options.revision(table);
    if (revision === undefined) return false;
    const { era } = decodeRevision(revision);
    const known = eras.get(table);
    if (known?.era !== era) {
      eras.set(table, { era, sinceMs: clock.nowMs(), isConfirmed: !hasUnconfirmedRows(table) });
      return false;
    }
    return !known.isConfirmed && clock.nowMs() - known.sinceMs >= STORE_RECOVERY_GRACE_MS;
  };

  const readOnce = (
    table: Table,
    isConfirmation: boolean,
    signal: AbortSignal,
  ): Promise<RowBatch> => {
    const since = options.revision(table);
    metrics.increment("store_call", { table });
    if (since === undefined || isConfirmation) {
      return store.readTable(table, { timeoutMs: STORE_TIMEOUT_MS, signal });
    }
    // An overdue poll does not wait, since its answer tells at once that the copy is current.
    const waitMs = ageMs(table) >= computeStaleMs(table) ? 0 : TABLE_POLL[table].waitMs;
    return store.followTable(table, since, {
      waitMs,
      timeoutMs: waitMs + STORE_TIMEOUT_MS,
      signal,
    });
  };

  const readWhole = async (table: Table, signal: AbortSignal) => {
    log.info(
      { table, [ESSENTIAL]: true },
      "Store no longer has the requested changes; reading the whole table",
    );
    metrics.increment("store_call", { table });
    return await store.readTable(table, { timeoutMs: STORE_TIMEOUT_MS, signal });
  };

  const followOnce = async (table: Table, signal: AbortSignal) => {
    try {
      const isConfirmation = isConfirmationDue(table);
      const batch = await readOnce(table, isConfirmation, signal).catch((err) => {
        if (err instanceof HistoryLostError) return readWhole(table, signal);
        throw err;
      });
      onSuccess(table);
      const known = eras.get(table);
      if (isConfirmation && known !== undefined) known.isConfirmed = true;
      options.onBatch(table, batch, { isConfirmation });
      options.onRead(table, batch);
      await sleep(TABLE_POLL[table].delayMs, signal);
    } catch (err) {
      if (signal.aborted) throw err;
      onFailure(table, err);
      const delayMs = retryDelayMs(table);
      nextTryMs = clock.nowMs() + delayMs;
      await sleep(delayMs, signal);
    }
  };

  for (const table of Object.values(TABLE)) {
    tasks.run(`follow ${table}`, async (signal) => {
      while (!signal.aborted) {
        if (options.shouldFollow(table) && mayRead(table)) await followOnce(table, signal);
        else await sleepUntilTick(FLEET_TICK_MS, { clock, signal });
      }
    });
  }
  return {
    ageMs,
    recoveredAgoMs: () => clock.nowMs() - recoveredAtMs,
  };
}
