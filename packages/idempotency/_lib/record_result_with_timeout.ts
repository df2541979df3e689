import { sleep } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import type { CallRecord, CallResult } from "../types.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { recordResult } from "./record_result.ts";

/**
 * Records a result, and waits for the store for a short time only.
 *
 * The wait lets a repeat find the same outcome even if this host dies right after its answer; the
 * recording goes on in the background when the store does not answer.
 */
export async function recordResultWithTimeout(
  row: Row<CallRecord>,
  result: CallResult,
  options: { endMs: Millis; context: LedgerContext },
): Promise<void> {
  const { endMs, context } = options;
  const { active, clock, tasks, timing } = context;
  const leave = active.track(row.value.attempt);
  const recorded = recordResult(row, result, context).catch(() => {}).finally(leave);
  tasks.run(`record ${row.key}`, () => recorded);
  const waitMs = Math.min(endMs - clock.nowMs(), timing.storeTimeoutMs);
  if (waitMs <= 0) return;
  const ended = new AbortController();
  await Promise.race([recorded, sleep(waitMs, ended.signal).catch(() => {})]);
  ended.abort();
}
