import { setMaxListeners } from "node:events";
import { createDeadline, createTaskGroup, sleep } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import { answerAttemptQuery } from "./_lib/ask_owner.ts";
import { cleanUp } from "./_lib/clean_up.ts";
import { createActiveAttempts } from "./_lib/create_active_attempts.ts";
import { createRecordStore } from "./_lib/create_record_store.ts";
import { createResultStore } from "./_lib/create_result_store.ts";
import type { LedgerContext } from "./_lib/ledger_context.ts";
import { listUnknownCalls } from "./_lib/list_unknown_calls.ts";
import { readStatus } from "./_lib/read_status.ts";
import { recordKey } from "./_lib/record_key.ts";
import { runCall } from "./_lib/run_call.ts";
import type { RunResult } from "./_lib/run_call.ts";
import { settleCall } from "./_lib/settle_call.ts";
import { LEDGER_TIMING } from "./constants.ts";
import { CALL_REASON, CallError } from "./errors.ts";
import { RAN } from "./types.ts";
import type { AskHost, CallLedger, CallOwner, LedgerCall, LedgerTiming } from "./types.ts";

/** Options of {@linkcode createCallLedger}. */
export interface CallLedgerOptions {
  table: TableClient;
  objects: ObjectClient;
  /** This process. */
  self: CallOwner;
  clock: Clock;
  /** Jitter of polls and retries. */
  random: RandomSource;
  /** Sends `Calls.Status` to the owner of an attempt. */
  askHost: AskHost;
  /** Reports whether a process is known to be gone, for example replaced by a newer incarnation. */
  isHostGone: (owner: CallOwner) => boolean;
  metrics: Metrics;
  log: Logger;
  /** Shorter times for tests. */
  timing?: LedgerTiming;
}

/**
 * Creates the ledger through which a process runs non-idempotent calls at most once.
 *
 * @param options stores, process, clock and the questions to other hosts
 * @returns the ledger, whose clean-up runs until `stop`
 *
 * @example
 * const ledger = createCallLedger({ table, objects, self, clock, random, ...rest });
 * const { status, body, replayed } = await ledger.run(call, req.signal);
 */
export function createCallLedger(options: CallLedgerOptions): CallLedger {
  const { self, clock, random, log, timing = LEDGER_TIMING } = options;
  const tasks = createTaskGroup({
    onError: (task, err) => log.error({ task, err }, "Task failed"),
  });
  // Each background settlement waits on this signal, and an outage makes many of them.
  setMaxListeners(0, tasks.signal);
  let attempts = 0;
  const context: LedgerContext = {
    ...options,
    timing,
    tasks,
    active: createActiveAttempts(),
    records: createRecordStore({ ...options, timing }),
    results: createResultStore({ objects: options.objects, timing }),
    newAttempt: () => `${self.host}/${self.incarnation}/${++attempts}`,
  };
  const running = new Set<Promise<unknown>>();

  tasks.run("clean up", async (signal) => {
    for (;;) {
      await sleep(timing.cleanUpMs * (0.5 + random()), signal);
      try {
        while ((await cleanUp(context)).isMoreDue && !signal.aborted);
      } catch (err) {
        log.warn({ err }, "Clean-up failed");
      }
    }
  });

  const run = async (call: LedgerCall, parent: AbortSignal): Promise<RunResult> => {
    const deadline = createDeadline(call.remainingMs, { clock, parent });
    const { signal } = deadline;
    const endMs = clock.nowMs() + call.remainingMs;
    const progress = { isSent: false };
    const key = recordKey(call);
    const work = runCall(call, { key, limits: { endMs, signal }, progress, context });
    running.add(work);
    work.catch(() => {}).finally(() => running.delete(work));
    // A call that was sent goes on after the deadline, so that its answer is still recorded; before
    // that, the work itself ends soon and knows that nothing ran.
    const passed = new Promise<never>((_resolve, reject) => {
      const onAbort = () => {
        if (!progress.isSent) return;
        reject(
          new CallError(CALL_REASON.DEADLINE_EXCEEDED, { ran: RAN.UNKNOWN, cause: signal.reason }),
        );
      };
      if (signal.aborted) onAbort();
      signal.addEventListener("abort", onAbort, { once: true });
    });
    try {
      return await Promise.race([work, passed]);
    } finally {
      deadline.clear();
    }
  };

  return {
    run,
    status: (workspace, service, key) => readStatus({ workspace, service, key }, context),
    listUnknown: (limit) => listUnknownCalls(limit, context),
    settle: (call, decision) => settleCall(call, { decision, context }),
    answerStatus: (query) => answerAttemptQuery(query, context),
    async stop() {
      await Promise.allSettled(running);
      await tasks.stop();
    },
  };
}
