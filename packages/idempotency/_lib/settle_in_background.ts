import { sleep } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import type { CallRecord } from "../types.ts";
import type { LedgerContext } from "./ledger_context.ts";

/**
 * Ends an attempt that sent nothing as `not_run` and repeats until the store confirms it.
 *
 * A swap to `sending` whose answer was lost may take effect late; the changed version stops it, or
 * the late record is ended as well.
 */
export function settleInBackground(
  row: Row<CallRecord>,
  context: Pick<
    LedgerContext,
    "records" | "clock" | "metrics" | "timing" | "tasks" | "active" | "random"
  >,
): void {
  const { records, clock, metrics, timing, tasks, active, random } = context;
  const { key, value: { attempt } } = row;
  const leave = active.track(attempt);
  const settle = async (signal: AbortSignal) => {
    let current: Row<CallRecord> | undefined = row;
    for (;;) {
      const isOpen = current?.value.attempt === attempt &&
        (current.value.state === "started" || current.value.state === "sending");
      if (current === undefined || !isOpen) return;
      const result = await records.swap(key, {
        version: current.version,
        next: { ...current.value, state: "not_run" },
        endMs: clock.nowMs() + timing.storeWaitMs,
      });
      metrics.increment("calls.settlement", { outcome: result.outcome });
      if (result.outcome === "done") return;
      if (result.outcome === "conflict") current = result.row;
      else await sleep(timing.settleRetryMs * (0.5 + random()), signal);
    }
  };
  tasks.run(`settle ${key}`, async (signal) => {
    try {
      await settle(signal);
    } finally {
      leave();
    }
  });
}
