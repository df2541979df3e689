import { sleep } from "@jaypass/kernel";
import type { Clock, Metrics, Millis, RandomSource } from "@jaypass/kernel";
import type { Row, TableClient, Write } from "@jaypass/store_clients";
import { CALLS_SENDING_TABLE, CALLS_TABLE } from "../constants.ts";
import type { CallRecord, LedgerTiming } from "../types.ts";

/** Outcome of a compare-and-swap; after `unknown` the write may still take effect. */
export type SwapResult =
  | { outcome: "done"; row: Row<CallRecord> }
  | { outcome: "conflict"; row: Row<CallRecord> | undefined }
  | { outcome: "not_done" }
  | { outcome: "unknown" };

/** A compare-and-swap of a record. */
export interface Swap {
  /** Version that the record must have; 0 when it must be absent. */
  version: number;
  /** New record; its attempt and state identify this write when the record is read back. */
  next: CallRecord;
  /** Further writes of the same transaction. */
  extraWrites?: Write[];
  /** Monotonic time at which the swap gives up. */
  endMs: Millis;
}

/** Options of {@linkcode createRecordStore}. */
export interface RecordStoreOptions {
  table: TableClient;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  timing: LedgerTiming;
}

/** Creates the access to the call records, which determines the outcome of each write. */
export function createRecordStore(options: RecordStoreOptions) {
  const { table, clock, random, metrics, timing } = options;

  const callOptions = (endMs: Millis) => ({
    timeoutMs: Math.max(1, Math.min(timing.storeTimeoutMs, endMs - clock.nowMs())),
  });
  const pause = () => sleep(timing.pollMs * (0.5 + random()));

  /**
   * Reads a record at or above a version; the store may answer a read with an older version.
   *
   * @returns the row, or `undefined` if no such answer came before `endMs`
   */
  const readAtLeast = async (
    key: string,
    version: number,
    endMs: Millis,
  ): Promise<{ row: Row<CallRecord> | undefined } | undefined> => {
    while (clock.nowMs() < endMs) {
      try {
        const row = await table.read<CallRecord>(CALLS_TABLE, key, callOptions(endMs));
        if ((row?.version ?? 0) >= version) return { row };
      } catch {
        metrics.increment("calls.retry", { reason: "read_failed" });
      }
      await pause();
    }
    return undefined;
  };

  const indexWrites = (key: string, next: CallRecord): Write[] => {
    if (next.state === "started") return [];
    const value = next.state === "sending" ? { attempt: next.attempt } : null;
    return [{ table: CALLS_SENDING_TABLE, key, value }];
  };

  return {
    readAtLeast,
    /**
     * Writes a record if its version is unchanged.
     *
     * After an unknown outcome the same compare-and-swap is retried: it either succeeds, or it
     * conflicts and the following read shows whether an earlier attempt took effect.
     */
    async swap(key: string, swap: Swap): Promise<SwapResult> {
      const { version, next, extraWrites = [], endMs } = swap;
      let mayTakeEffect = false;
      while (clock.nowMs() < endMs) {
        const result = await table.commit({
          conditions: [{ table: CALLS_TABLE, key, version }],
          writes: [
            { table: CALLS_TABLE, key, value: next },
            ...indexWrites(key, next),
            ...extraWrites,
          ],
        }, callOptions(endMs));
        if (result.outcome === "done") {
          const written = result.versions[`${CALLS_TABLE}/${key}`]!;
          return { outcome: "done", row: { key, value: next, version: written } };
        }
        if (result.outcome === "conflict") {
          const read = await readAtLeast(key, result.version, endMs);
          if (read === undefined) return { outcome: mayTakeEffect ? "unknown" : "not_done" };
          const { row } = read;
          const isOwn = row?.value.attempt === next.attempt && row.value.state === next.state;
          return isOwn ? { outcome: "done", row: row! } : { outcome: "conflict", row };
        }
        if (result.outcome === "unknown") mayTakeEffect = true;
        metrics.increment("calls.retry", { reason: `${next.state}_${result.outcome}` });
        await pause();
      }
      return { outcome: mayTakeEffect ? "unknown" : "not_done" };
    },
  };
}

/** Access to the records. */
export type RecordStore = ReturnType<typeof createRecordStore>;
