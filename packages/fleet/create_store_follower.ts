import { sleep } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, Millis, RandomSource, TaskGroup } from "@jaypass/kernel";
import {
  OUTAGE_MIN_MS,
  SERVERS_LONG_POLL_MS,
  SERVERS_POLL_DELAY_MS,
  STORE_RETRY_MS,
  STORE_TIMEOUT_MS,
  TABLE_LONG_POLL_MS,
  TABLE_POLL_DELAY_MS,
} from "./constants.ts";
import { HistoryLostError } from "./errors.ts";
import { TABLE } from "./types.ts";
import type { RowBatch, RowStore, Table } from "./types.ts";

/** Options of {@linkcode createStoreFollower}. */
export interface StoreFollowerOptions {
  /** The store. */
  store: RowStore;
  /** Monotonic time source. */
  clock: Clock;
  /** Source of random numbers, for the wait after a failure. */
  random: RandomSource;
  /** Log of lost and regained contact. */
  log: Logger;
  /** Counter of store calls. */
  metrics: Metrics;
  /** Owner of the tasks, one for each table. */
  tasks: TaskGroup;
  /** True while this host has to follow the store itself. */
  shouldFollow: () => boolean;
  /** Revision from which a table is followed; undefined reads it whole. */
  revision: (table: Table) => number | undefined;
  /** Receives what was read. */
  onBatch: (table: Table, batch: RowBatch) => void;
  /** Called after the servers' rows were read and what changed was passed on. */
  onServersRead: () => void;
}

/** What a host knows of its contact with the store. */
export interface StoreFollower {
  /** Milliseconds since rows of servers were last read. */
  ageMs(): Millis;
  /** Milliseconds since the store came back from an absence; Infinity without one. */
  recoveredAgoMs(): Millis;
}

/** Milliseconds between two checks whether the host has to follow. */
const IDLE_CHECK_MS = 50;

/**
 * Follows the store's tables, one task a table, while the host has to.
 *
 * @param options store, cache and bounds
 * @returns what is known of the contact with the store
 *
 * @example
 * const follower = createStoreFollower({ store, shouldFollow: () => true, ... });
 */
export function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
  const { store, clock, random, log, metrics, tasks } = options;
  let lastServersMs = -Infinity;
  let failingSinceMs: Millis | undefined;
  let recoveredMs = -Infinity;
  let failures = 0;

  const onSuccess = (table: Table) => {
    const now = clock.nowMs();
    if (table === TABLE.SERVERS) lastServersMs = now;
    if (failingSinceMs === undefined) return;
    const lengthMs = now - failingSinceMs;
    failingSinceMs = undefined;
    failures = 0;
    if (lengthMs < OUTAGE_MIN_MS) return;
    recoveredMs = now;
    log.info({ table, lengthMs: Math.round(lengthMs) }, "Store is back");
  };

  const onFailure = (table: Table, err: unknown) => {
    metrics.increment("store_failure", { table });
    failures += 1;
    if (failingSinceMs !== undefined) return;
    failingSinceMs = clock.nowMs();
    log.warn({ table, err: String(err) }, "Store call failed");
  };

  /** While the store fails, one table alone tries it, since refused calls are not free either. */
  const isProbe = (table: Table) => failingSinceMs === undefined || table === TABLE.OPERATORS;

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
    const waitMs = table === TABLE.SERVERS ? SERVERS_LONG_POLL_MS : TABLE_LONG_POLL_MS;
    return store.followTable(table, since, {
      waitMs,
      timeoutMs: waitMs + STORE_TIMEOUT_MS,
      signal,
    });
  };

  const readWhole = async (table: Table, signal: AbortSignal) => {
    log.info({ table }, "Store dropped its history; reading the table whole");
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
      if (table === TABLE.SERVERS) options.onServersRead();
      await sleep(table === TABLE.SERVERS ? SERVERS_POLL_DELAY_MS : TABLE_POLL_DELAY_MS, signal);
    } catch (err) {
      if (signal.aborted) throw err;
      onFailure(table, err);
      await sleep(retryDelayMs(), signal);
    }
  };

  for (const table of Object.values(TABLE)) {
    tasks.run(`follow ${table}`, async (signal) => {
      while (!signal.aborted) {
        if (options.shouldFollow() && isProbe(table)) await followOnce(table, signal);
        else await sleep(IDLE_CHECK_MS, signal);
      }
    });
  }
  return {
    ageMs: () => clock.nowMs() - lastServersMs,
    recoveredAgoMs: () => clock.nowMs() - recoveredMs,
  };
}
