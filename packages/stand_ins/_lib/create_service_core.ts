import { createHash } from "node:crypto";
import type { z } from "zod";
import type { SERVICE_STAND_IN_OPTIONS, ServiceFaults, ServiceLog } from "../service_types.ts";
import { createLoadHistory } from "./create_load_history.ts";

/** A call of an operation. */
export interface ServiceCall {
  requestId: string;
  operation: string;
  key: string | undefined;
  fencing: number | undefined;
  expectedRestartCount: number | undefined;
  body: Buffer;
}

/** A stored result with its body in base64. */
export interface StoredResult {
  requestId: string;
  status: number;
  contentType: string;
  body: string;
  restartCount: number;
}

/** Outcome of a call on the server; `lost` if the server crashed meanwhile. */
export type ServiceOutcome =
  | { kind: "refused"; code: string; status: number }
  | { kind: "lost" }
  | { kind: "done"; result: StoredResult };

/** Creates the state of a plain service; `onCrash` must break its connections. */
export function createServiceCore(
  settings: z.output<typeof SERVICE_STAND_IN_OPTIONS>,
  faults: ServiceFaults,
  onCrash: () => void,
) {
  const scale = settings.timeScale;
  const nowMs = () => performance.timeOrigin + performance.now();
  let restartCount = settings.restartCount;
  let coldUntilMs = nowMs() + settings.coldMs / scale;
  let isColdHidden = false;
  const running = new Set<ServiceCall>();
  const results = new Map<string, StoredResult>();
  const effects = new Map<string, ServiceLog["effects"][string]>();
  const fences = new Map<string, number>();
  const refused: Record<string, number> = {};
  const crashes: ServiceLog["crashes"] = [];
  const totals = { acceptedTotal: 0, highestWhileCold: 0, highestConcurrency: 0 };
  const isCold = () => nowMs() < coldUntilMs;
  const loadHistory = createLoadHistory(() => settings.loadLagMs / scale);
  const recordLoad = () =>
    loadHistory.add({
      running: running.size,
      usedTokens: 0,
      coldUntilMs: isColdHidden ? 0 : coldUntilMs,
    });
  recordLoad();

  const crash = (reason: "cold_limit" | "fault") => {
    crashes.push({ atMs: nowMs(), reason, requestIds: [...running].map((call) => call.requestId) });
    onCrash();
    running.clear();
    restartCount += 1;
    isColdHidden = false;
    coldUntilMs = nowMs() + (settings.restartMs + settings.coldMs) / scale;
    recordLoad();
  };
  const consumeFault = (name: "crashBeforeNext" | "crashAfterNext") => {
    const left = faults[name] ?? 0;
    if (left > 0) faults[name] = left - 1;
    return left > 0;
  };
  const refuse = (code: string, status: number): ServiceOutcome => {
    refused[code] = (refused[code] ?? 0) + 1;
    return { kind: "refused", code, status };
  };
  const isStale = (call: ServiceCall) =>
    settings.fencing === "checked" && call.key !== undefined && call.fencing !== undefined &&
    call.fencing < (fences.get(call.key) ?? 0);
  const apply = (call: ServiceCall): StoredResult => {
    const key = call.key ?? "";
    const { requestId, operation, fencing } = call;
    effects.set(key, [
      ...effects.get(key) ?? [],
      { requestId, operation, fencing, atMs: nowMs() },
    ]);
    return answer(call);
  };
  // The answer depends only on the call, so that a test can verify it.
  const answer = (call: ServiceCall): StoredResult => ({
    requestId: call.requestId,
    status: 200,
    contentType: "application/json",
    body: Buffer.from(JSON.stringify({
      operation: call.operation,
      bodyHash: createHash("sha256").update(call.body).digest("hex"),
    })).toString("base64"),
    restartCount,
  });

  return {
    crash,
    restartCount: () => restartCount,
    turnCold(forMs: number, reported: boolean) {
      coldUntilMs = nowMs() + forMs / scale;
      isColdHidden = !reported;
      recordLoad();
    },
    async run(call: ServiceCall): Promise<ServiceOutcome> {
      const operation = settings.operations[call.operation];
      if (!operation) return refuse("unknown_operation", 404);
      if (faults.refuseAll) return refuse("overloaded", 503);
      if (isStale(call)) return refuse("stale_fencing", 409);
      if ((call.expectedRestartCount ?? restartCount) !== restartCount) {
        return refuse("restarted", 409);
      }
      const concurrency = running.size + 1;
      const cold = isCold();
      if (!cold && concurrency > settings.warmLimit) return refuse("overloaded", 503);
      totals.acceptedTotal += 1;
      totals.highestConcurrency = Math.max(totals.highestConcurrency, concurrency);
      running.add(call);
      recordLoad();
      if (cold) {
        totals.highestWhileCold = Math.max(totals.highestWhileCold, concurrency);
        if (concurrency > settings.coldLimit) {
          crash("cold_limit");
          return { kind: "lost" };
        }
      }
      const durationMs = settings.serviceMs / scale + (faults.slowMs ?? 0);
      await new Promise((resolve) => setTimeout(resolve, durationMs));
      if (!running.has(call)) return { kind: "lost" };
      if (consumeFault("crashBeforeNext")) {
        crash("fault");
        return { kind: "lost" };
      }
      running.delete(call);
      recordLoad();
      // Checked again, because the fence may have been raised since the call started.
      if (isStale(call)) return refuse("stale_fencing", 409);
      const result = operation.hasEffect ? apply(call) : answer(call);
      if (operation.hasEffect && call.key !== undefined) results.set(call.key, result);
      if (consumeFault("crashAfterNext")) {
        crash("fault");
        return { kind: "lost" };
      }
      return { kind: "done", result };
    },
    raiseFence(key: string, fencing: number): boolean {
      const current = fences.get(key) ?? 0;
      if (settings.fencing === "checked" && fencing < current) return false;
      fences.set(key, Math.max(current, fencing));
      return true;
    },
    result: (key: string) => results.get(key),
    load() {
      const { state, ageMs } = loadHistory.read();
      return {
        restartCount,
        warm: nowMs() - ageMs >= state.coldUntilMs,
        running: state.running,
        usedTokens: 0,
        memoryTokens: 0,
        ageMs,
        models: {},
        role: "service",
      };
    },
    readLog: (): ServiceLog => ({
      id: settings.id,
      restartCount,
      cold: isCold(),
      effects: Object.fromEntries(effects),
      fences: Object.fromEntries(fences),
      refused,
      running: running.size,
      crashes,
      ...totals,
    }),
  };
}
