import { sleep } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import type { CallRecord, CallResult } from "../types.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { recordResult } from "./record_result.ts";

/**
 * Records a result, and waits for the store at most until a short timeout.
 *
 * Because of the wait, a repeated call finds the same outcome even if this host fails right after
 * its answer. If the store does not answer in time, the recording continues in the background.
 */
export async function recordResultWithTimeout(
  row: Row<CallRecord>,
  result: CallResult,
  options: { endMs: Millis; context: LedgerContext },
): Promise<void> {
  const { endMs, context } = options;
  const { active, clock, tasks, timing } = context;
  const untrack = active.track(row.value.attempt);
  const recorded = recordResult(row, result, context).catch(() => {}).finally(untrack);
  tasks.run(`record ${row.key}`, () => recorded);
  const waitMs = Math.min(endMs - clock.nowMs(), timing.storeTimeoutMs);
  if (waitMs <= 0) return;
  const timer = new AbortController();
  await Promise.race([recorded, sleep(waitMs, timer.signal).catch(() => {})]);
  timer.abort();
}
