import { sleep } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import type { CallRecord, CallResult, StoredResult } from "../types.ts";
import type { LedgerContext } from "./ledger_context.ts";

/**
 * Sets a record in `sending` to `done`; retries until the store confirms it or the ledger stops.
 *
 * A host that resolves the call may have claimed the record in the meantime. The result overwrites
 * such a claim, because it proves that the call ran.
 */
export async function recordResult(
  row: Row<CallRecord>,
  result: CallResult,
  context: LedgerContext,
): Promise<void> {
  const { records, results, clock, metrics, timing, tasks, random, log } = context;
  let current = row;
  let stored: StoredResult | undefined;
  for (;;) {
    try {
      stored ??= await results.save(`${row.key}/${row.value.attempt}`, result);
      const swapped = await records.swap(row.key, {
        version: current.version,
        next: {
          ...current.value,
          state: "done",
          result: stored,
          doneWallMs: Math.round(clock.wallMs()),
        },
        endMs: clock.nowMs() + timing.storeWaitMs,
      });
      metrics.increment("calls.result", { outcome: swapped.outcome });
      if (swapped.outcome === "done") return;
      if (swapped.outcome === "conflict") {
        if (swapped.row?.value.state === "done") return;
        if (swapped.row?.value.state !== "sending") {
          log.error(
            { call: row.key },
            "Call has a result but is recorded as not run; dropping the result",
          );
          return;
        }
        current = swapped.row;
        continue;
      }
    } catch (err) {
      log.warn({ err, call: row.key }, "Call result could not be stored; retrying");
    }
    await sleep(timing.settleRetryMs * (0.5 + random()), tasks.signal);
  }
}
