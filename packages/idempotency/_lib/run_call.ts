import { sleep } from "@jaypass/kernel";
import type { Row } from "@jaypass/store_clients";
import { STORE_RETRY_AFTER_MS } from "../constants.ts";
import { CALL_REASON, CallError } from "../errors.ts";
import { RAN } from "../types.ts";
import type { CallRecord, CallResult, LedgerCall } from "../types.ts";
import { askOwner } from "./ask_owner.ts";
import type { CallLimits, LedgerContext } from "./ledger_context.ts";
import { resolveUnknownCall } from "./resolve_unknown_call.ts";
import { runAttempt } from "./run_attempt.ts";
import type { AttemptProgress } from "./run_attempt.ts";

/** A result and whether it comes from an earlier run. */
export type RunResult = CallResult & { replayed: boolean };

/** Follows the record of a call until it has an outcome, with own attempts when the key is free. */
export async function runCall(
  call: LedgerCall,
  options: { key: string; limits: CallLimits; progress: AttemptProgress; context: LedgerContext },
): Promise<RunResult> {
  const { key, limits, context } = options;
  const { records, results, clock, random, timing } = context;
  const { endMs, signal } = limits;

  const isFree = async (row: Row<CallRecord> | undefined): Promise<boolean> => {
    if (row === undefined || row.value.state === "not_run") return true;
    if (row.value.state !== "started") return false;
    const answer = await askOwner(row, context, signal);
    if (answer !== "unreachable") return answer !== "in_progress";
    return clock.nowMs() - unchangedSinceMs >= timing.startedTakeoverMs;
  };
  const replay = async (row: Row<CallRecord>): Promise<RunResult> => {
    try {
      return { ...await results.load(row.value.result!), replayed: true };
    } catch (cause) {
      throw new CallError(CALL_REASON.STORE_UNAVAILABLE, {
        ran: RAN.RAN,
        retryAfterMs: STORE_RETRY_AFTER_MS,
        cause,
      });
    }
  };
  const resolve = async (row: Row<CallRecord>, cause?: unknown) => {
    const resolution = await resolveUnknownCall(call, row, { limits, context, cause });
    return "result" in resolution
      ? { done: { ...resolution.result, replayed: true } }
      : { row: resolution.changed };
  };

  /** One step from the record as last seen: the outcome, or the record as it is now. */
  const step = async (
    row: Row<CallRecord> | undefined,
  ): Promise<{ done: RunResult } | { row: Row<CallRecord> | undefined } | "wait"> => {
    if (await isFree(row)) {
      const outcome = await runAttempt(call, row, options);
      if ("result" in outcome) return { done: { ...outcome.result, replayed: false } };
      return "lostTo" in outcome
        ? { row: outcome.lostTo }
        : await resolve(outcome.unknown, outcome.cause);
    }
    const { value, version } = row!;
    if (value.bodyHash !== call.bodyHash) {
      throw new CallError(CALL_REASON.KEY_REUSED, { ran: RAN.NOT_RUN });
    }
    if (value.state === "done") return { done: await replay(row!) };
    if (value.state === "started") return "wait";
    const answer = await askOwner(row!, context, signal);
    if (answer === "in_progress" || answer === "unreachable") return "wait";
    // The owner's last write may have come between the read and its answer.
    const read = await records.readFrom(key, version, endMs);
    if (read === undefined) return "wait";
    return read.row?.version === version ? await resolve(row!) : read;
  };

  let row: Row<CallRecord> | undefined;
  let unchangedSinceMs = clock.nowMs();
  let pauseMs = timing.pollMs;
  const moveTo = (next: Row<CallRecord> | undefined) => {
    if (next?.version === row?.version) return;
    row = next;
    unchangedSinceMs = clock.nowMs();
    pauseMs = timing.pollMs;
  };
  while (!signal.aborted && clock.nowMs() < endMs) {
    const next = await step(row);
    if (next !== "wait") {
      if ("done" in next) return next.done;
      moveTo(next.row);
      continue;
    }
    await sleep(pauseMs * (0.5 + random()), signal).catch(() => {});
    pauseMs = Math.min(timing.maxPollMs, pauseMs * 2);
    const read = await records.readFrom(key, row?.version ?? 0, endMs);
    if (read !== undefined) moveTo(read.row);
  }
  throw new CallError(CALL_REASON.IN_PROGRESS, {
    ran: RAN.UNKNOWN,
    retryAfterMs: STORE_RETRY_AFTER_MS,
  });
}
