import { sleep } from "@jaypass/kernel";
import type { Clock, Metrics, Millis, RandomSource } from "@jaypass/kernel";
import type { Row, TableClient, Write } from "@jaypass/store_clients";
import { CALLS_SENDING_TABLE, CALLS_TABLE } from "../constants.ts";
import type { CallRecord, LedgerTiming } from "../types.ts";

/** How a swap ended. `unknown` means that it may still take effect. */
export type SwapResult =
  | { outcome: "done"; row: Row<CallRecord> }
  | { outcome: "conflict"; row: Row<CallRecord> | undefined }
  | { outcome: "not_done" }
  | { outcome: "unknown" };

/** What a swap compares, writes and waits for. */
export interface Swap {
  /** Version that the record must have; 0 when it must be absent. */
  version: number;
  /** Its attempt and state tell this write from those of others when it is read back. */
  next: CallRecord;
  /** Writes of the same transaction. */
  extraWrites?: Write[];
  /** Monotonic time at which the swap gives up. */
  endMs: Millis;
}

/** What the record store needs. */
export interface RecordStoreOptions {
  table: TableClient;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  timing: LedgerTiming;
}

/** Creates the access to the records, which finds out the outcome of each write. */
export function createRecordStore(options: RecordStoreOptions) {
  const { table, clock, random, metrics, timing } = options;

  const callOptions = (endMs: Millis) => ({
    timeoutMs: Math.max(1, Math.min(timing.storeTimeoutMs, endMs - clock.nowMs())),
  });
  const pause = () => sleep(timing.pollMs * (0.5 + random()));

  /** Reads a record that has reached a version; older answers are from the past. */
  const readFrom = async (
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
    readFrom,
    /**
     * Writes a record if its version is unchanged.
     *
     * After an unknown outcome the same compare-and-swap is tried again: it either succeeds, or its
     * conflict leads to a read that shows whether the first try took effect.
     */
    async swap(key: string, swap: Swap): Promise<SwapResult> {
      const { version, next, extraWrites: also = [], endMs } = swap;
      let mayTakeEffect = false;
      while (clock.nowMs() < endMs) {
        const result = await table.commit({
          conditions: [{ table: CALLS_TABLE, key, version }],
          writes: [{ table: CALLS_TABLE, key, value: next }, ...indexWrites(key, next), ...also],
        }, callOptions(endMs));
        if (result.outcome === "done") {
          const written = result.versions[`${CALLS_TABLE}/${key}`]!;
          return { outcome: "done", row: { key, value: next, version: written } };
        }
        if (result.outcome === "conflict") {
          const read = await readFrom(key, result.version, endMs);
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
