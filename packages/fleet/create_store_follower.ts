import { ESSENTIAL, sleep, sleepUntilTick } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, Millis, RandomSource, TaskGroup } from "@jaypass/kernel";
import {
  FLEET_TICK_MS,
  OUTAGE_MIN_MS,
  STORE_RETRY_MS,
  STORE_TIMEOUT_MS,
  TABLE_POLL,
} from "./constants.ts";
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
  /** True while this host has to read the store itself. */
  shouldFollow: () => boolean;
  /** Revision after which to read the changes of a table; undefined to read the whole table. */
  revision: (table: Table) => number | undefined;
  /** Receives each batch that was read. */
  onBatch: (table: Table, batch: RowBatch) => void;
  /** Called after each read of a table, once its batch was passed to `onBatch`. */
  onRead: (table: Table) => void;
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
 * @param options store, callbacks and time source
 * @returns the state of the connection to the store
 *
 * @example
 * const follower = createStoreFollower({ store, shouldFollow: () => true, ... });
 */
export function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
  const { store, clock, random, log, metrics, tasks } = options;
  const readAtMs = new Map<Table, Millis>();
  let failingSinceMs: Millis | undefined;
  let recoveredAtMs = -Infinity;
  let failures = 0;

  const onSuccess = (table: Table) => {
    const now = clock.nowMs();
    readAtMs.set(table, now);
    if (failingSinceMs === undefined) return;
    const lengthMs = now - failingSinceMs;
    failingSinceMs = undefined;
    failures = 0;
    if (lengthMs < OUTAGE_MIN_MS) return;
    recoveredAtMs = now;
    log.info({ table, lengthMs: Math.round(lengthMs), [ESSENTIAL]: true }, "Store outage ended");
  };

  const onFailure = (table: Table, err: unknown) => {
    const { reason } = err as Partial<StoreError>;
    metrics.increment("store_failure", { table, reason: reason ?? STORE_FAILURE.OTHER });
    failures += 1;
    if (failingSinceMs !== undefined) return;
    failingSinceMs = clock.nowMs();
    const { cause } = err as Error;
    log.warn(
      { table, reason, err: String(err), cause: cause && String(cause) },
      "Store call failed; retrying",
    );
  };

  /**
   * Whether a table is read now. While the store fails, only one table is, because failing calls
   * load the store as well.
   */
  const mayRead = (table: Table) => failingSinceMs === undefined || table === TABLE.OPERATORS;

  const retryDelayMs = () => {
    const limitMs = Math.min(STORE_RETRY_MS.max, STORE_RETRY_MS.min * 2 ** failures);
    return limitMs * (0.5 + random() / 2);
  };

  const readOnce = (table: Table, signal: AbortSignal): Promise<RowBatch> => {
    const since = options.revision(table);
    metrics.increment("store_call", { table });
    if (since === undefined) {
      return store.readTable(table, { timeoutMs: STORE_TIMEOUT_MS, signal });
    }
    const { waitMs } = TABLE_POLL[table];
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
      const batch = await readOnce(table, signal).catch((err) => {
        if (err instanceof HistoryLostError) return readWhole(table, signal);
        throw err;
      });
      onSuccess(table);
      options.onBatch(table, batch);
      options.onRead(table);
      await sleep(TABLE_POLL[table].delayMs, signal);
    } catch (err) {
      if (signal.aborted) throw err;
      onFailure(table, err);
      await sleep(retryDelayMs(), signal);
    }
  };

  for (const table of Object.values(TABLE)) {
    tasks.run(`follow ${table}`, async (signal) => {
      while (!signal.aborted) {
        if (options.shouldFollow() && mayRead(table)) await followOnce(table, signal);
        else await sleepUntilTick(FLEET_TICK_MS, { clock, signal });
      }
    });
  }
  return {
    ageMs: (table) => clock.nowMs() - (readAtMs.get(table) ?? -Infinity),
    recoveredAgoMs: () => clock.nowMs() - recoveredAtMs,
  };
}
