import { PREFIX_BLOCK_TOKENS } from "@jaypass/engines";
import type { EngineFaultState, EngineLog, EngineSettings } from "../engine_types.ts";
import { createCacheEventLog } from "./create_cache_event_log.ts";
import { createEngineLog } from "./create_engine_log.ts";
import { type CoreRequest, createJob } from "./create_job.ts";
import { createLoadHistory } from "./create_load_history.ts";
import { createPrefixCache } from "./create_prefix_cache.ts";
import { type EngineJob, heldTokens, type WireEvent } from "./engine_job.ts";
import { planStep } from "./plan_step.ts";
import { hashPrompt, tokenAt } from "./token_at.ts";

/** Longest lag that the step loop catches up after its process was not scheduled. */
const MAX_CATCH_UP_MS = 50;

/** Finished requests whose events are kept for resumption. */
const MAX_FINISHED = 2_000;

/** A refusal; `ran` is true only for a request id that is already in use. */
export interface CoreRefusal {
  code: "overloaded" | "too_large" | "unknown_model" | "missing_kv" | "duplicate_id" | "crashed";
  ran: boolean;
}

/** The scheduler, memory and answers of an engine stand-in, without its HTTP side. */
export type EngineCore = ReturnType<typeof createEngineCore>;

/** Creates the core of an engine; `onCrash` closes its connections. */
export function createEngineCore(
  settings: EngineSettings,
  faults: EngineFaultState,
  onCrash: () => void,
) {
  const scale = settings.timeScale;
  const nowMs = () => performance.timeOrigin + performance.now();
  const models: Record<string, string> = { ...settings.models };
  let role = settings.role;
  let restartCount = settings.restartCount;
  let coldUntilMs = nowMs() + settings.coldMs / scale;
  let isColdHidden = false;
  let highestOrderFencing = 0;
  let order = 0;
  let isStepping = false;
  let isStartWorthTrying = true;
  const jobs = new Map<string, EngineJob>();
  const unfinished = new Set<EngineJob>();
  const waiting: EngineJob[] = [];
  const running: EngineJob[] = [];
  const parts = new Map<string, EngineJob[]>();
  const coverage = new Map<string, { digest: string; coversTo: number }>();
  const cacheEvents = createCacheEventLog(
    () => settings.cacheEventLagMs / scale,
    () => faults.cacheEventLossEvery ?? 0,
  );
  let cache = createPrefixCache(settings.memoryTokens, cacheEvents.add);
  const isCold = () => nowMs() < coldUntilMs;
  const loadHistory = createLoadHistory(() => (faults.loadLagMs ?? settings.loadLagMs) / scale);
  const noteLoad = () =>
    loadHistory.add({
      running: unfinished.size,
      usedTokens: cache.usedTokens(),
      coldUntilMs: isColdHidden ? 0 : coldUntilMs,
    });
  noteLoad();

  const log = createEngineLog(settings.id);

  const allJobs = () => [...jobs.values(), ...[...parts.values()].flat()];
  const emit = (job: EngineJob, event: WireEvent) => {
    for (const listener of job.listeners) listener(event);
  };
  const remove = (list: EngineJob[], job: EngineJob) => {
    const index = list.indexOf(job);
    if (index >= 0) list.splice(index, 1);
  };

  const end = (job: EngineJob, outcome: "done" | "cancelled" | "lost") => {
    if (job.state === "waiting") remove(waiting, job);
    if (job.state === "running") remove(running, job);
    const keepsMemory = job.isPart && outcome === "done";
    if (!keepsMemory && (job.state === "running" || job.state === "reserved")) {
      cache.release(job.blocks, job.privateTokens);
    }
    unfinished.delete(job);
    job.state = keepsMemory ? "reserved" : "finished";
    job.endedAtMs = nowMs();
    job.record.endedMs ??= job.endedAtMs;
    job.record.outcome ??= outcome;
    isStartWorthTrying = true;
    if (!job.isPart && outcome !== "lost") releaseParts(job.requestId);
    if (outcome !== "done") {
      const message = outcome === "cancelled" ? "Request cancelled" : "Engine restarted";
      emit(job, { type: "error", requestId: job.requestId, code: outcome, message });
    }
    for (const onEnd of job.onEnd.splice(0)) onEnd(outcome);
    noteLoad();
    // Freed memory may let a waiting request start when nothing else runs.
    if (waiting.length > 0) setImmediate(() => void step());
  };
  const releaseParts = (requestId: string) => {
    const held = parts.get(requestId) ?? [];
    parts.delete(requestId);
    coverage.delete(requestId);
    for (const part of held) end(part, "cancelled");
  };

  const crash = (reason: "cold_limit" | "poison" | "fault") => {
    const lost = [...unfinished, ...allJobs().filter((job) => job.state === "reserved")];
    log.crashes.push({ atMs: nowMs(), reason, requestIds: lost.map((job) => job.requestId) });
    // Connections break before the jobs end, so that no client sees an orderly end.
    onCrash();
    for (const job of lost) end(job, "lost");
    jobs.clear();
    parts.clear();
    coverage.clear();
    cache = createPrefixCache(settings.memoryTokens, cacheEvents.add);
    cacheEvents.reset();
    restartCount += 1;
    isColdHidden = false;
    coldUntilMs = nowMs() + (settings.restartMs + settings.coldMs) / scale;
    noteLoad();
  };

  const startWaiting = () => {
    if (!isStartWorthTrying) return;
    isStartWorthTrying = false;
    while (waiting.length > 0 && running.length < settings.warmLimit) {
      const job = waiting.reduce((best, other) =>
        other.priority < best.priority ||
          (other.priority === best.priority && other.order < best.order)
          ? other
          : best
      );
      if (!cache.acquire(job.blocks, job.privateTokens)) return;
      log.highestUsedTokens = Math.max(log.highestUsedTokens, cache.usedTokens());
      const startToken = Math.max(job.computedTokens, job.firstBlock * PREFIX_BLOCK_TOKENS);
      const cachedTo = startToken + cache.match(job.blocks) * PREFIX_BLOCK_TOKENS;
      // At least one token is computed, because the logits of the last one are needed.
      job.computedTokens = Math.max(startToken, Math.min(cachedTo, job.prefillTo - 1));
      job.cachedTokens = job.computedTokens - startToken;
      job.record.cachedTokens = job.cachedTokens;
      job.record.startedMs = nowMs();
      job.state = "running";
      remove(waiting, job);
      running.push(job);
      if (job.isPoison) {
        crash("poison");
        return;
      }
    }
  };

  const advance = (job: EngineJob, tokens: number) => {
    const before = Math.floor(job.computedTokens / PREFIX_BLOCK_TOKENS);
    job.computedTokens += tokens;
    const after = Math.floor(job.computedTokens / PREFIX_BLOCK_TOKENS);
    for (let index = before; index < after; index += 1) {
      const block = job.blocks[index - job.firstBlock];
      if (block) cache.store(block);
    }
    if (job.computedTokens >= job.prefillTo && job.isPart) end(job, "done");
  };
  const generate = (job: EngineJob) => {
    if (job.isStuck && job.tokens.length > 0) return;
    const index = job.firstIndex + job.tokens.length;
    if (index < job.maxTokens) {
      const text = tokenAt(job.digest, index);
      job.tokens.push(text);
      job.record.firstTokenMs ??= nowMs();
      log.generatedTokens += 1;
      emit(job, { type: "token", requestId: job.requestId, index, text });
    }
    if (job.isStuck || index + 1 < job.maxTokens) return;
    emit(job, endEvent(job));
    end(job, "done");
  };
  const endEvent = (job: EngineJob): WireEvent => ({
    type: "end",
    requestId: job.requestId,
    totalTokens: job.firstIndex + job.tokens.length,
    cachedTokens: job.cachedTokens,
  });

  const step = async () => {
    if (isStepping) return;
    isStepping = true;
    let dueMs = performance.now();
    try {
      while (true) {
        startWaiting();
        const plan = planStep(running, settings);
        if (plan.durationMs === 0) return;
        const factor = (isCold() ? settings.coldSlowdown : 1) * (faults.slowFactor ?? 1) / scale;
        dueMs = Math.max(dueMs, performance.now() - MAX_CATCH_UP_MS) + plan.durationMs * factor;
        const waitMs = dueMs - performance.now();
        const life = restartCount;
        await new Promise<void>((resolve) =>
          waitMs >= 1 ? setTimeout(resolve, waitMs) : setImmediate(resolve)
        );
        if (life !== restartCount) continue;
        for (const [job, tokens] of plan.prefill) {
          if (job.state === "running") advance(job, tokens);
        }
        // A request whose prefill ended in this step gives its first token with it.
        for (const job of [...running]) {
          if (!job.isPart && job.computedTokens >= job.prefillTo) generate(job);
        }
      }
    } finally {
      isStepping = false;
    }
  };

  const accept = (req: CoreRequest): EngineJob | CoreRefusal => {
    const refuse = (code: CoreRefusal["code"], ran = false): CoreRefusal => {
      log.refused[code] = (log.refused[code] ?? 0) + 1;
      return { code, ran };
    };
    forgetFinished();
    if (!(req.model in models)) return refuse("unknown_model");
    if (!req.part && jobs.get(req.requestId) && jobs.get(req.requestId)?.state !== "finished") {
      return refuse("duplicate_id", true);
    }
    const concurrency = unfinished.size + 1;
    if (!isCold() && concurrency > settings.warmLimit + settings.queueLimit) {
      return refuse("overloaded");
    }
    const known = coverage.get(req.requestId);
    const covered = known?.digest === hashPrompt(req.prompt) ? known.coversTo : 0;
    if ((req.part?.fromToken ?? 0) > covered) return refuse("missing_kv");
    const cold = isCold();
    const job = createJob(req, {
      settings,
      coveredTokens: covered,
      restartCount: restartCount,
      cold,
      order: order++,
      acceptedMs: nowMs(),
    });
    if (job.blocks.length * PREFIX_BLOCK_TOKENS + job.privateTokens > settings.memoryTokens) {
      return refuse("too_large");
    }
    job.isPoison = faults.poisonMarker !== undefined && req.prompt.includes(faults.poisonMarker);
    job.isStuck = (faults.stuckNext ?? 0) > 0 && !req.part;
    if (job.isStuck) faults.stuckNext = (faults.stuckNext ?? 0) - 1;
    log.acceptedTotal += 1;
    log.accepted.push(job.record);
    if (log.accepted.length > settings.logLimit) log.accepted.shift();
    log.highestConcurrency = Math.max(log.highestConcurrency, concurrency);
    unfinished.add(job);
    if (cold) {
      log.highestWhileCold = Math.max(log.highestWhileCold, concurrency);
      if (concurrency > settings.coldLimit) {
        crash("cold_limit");
        return { code: "crashed", ran: true };
      }
    }
    if (req.part) parts.set(req.requestId, [...parts.get(req.requestId) ?? [], job]);
    else jobs.set(req.requestId, job);
    waiting.push(job);
    isStartWorthTrying = true;
    noteLoad();
    // Listeners are attached before the first step.
    setImmediate(() => void step());
    return job;
  };

  const forgetFinished = () => {
    const limitMs = nowMs() - settings.retainFinishedMs / scale;
    for (const [id, job] of jobs) {
      if (job.state !== "finished") continue;
      if (job.endedAtMs > limitMs && jobs.size <= MAX_FINISHED) break;
      jobs.delete(id);
    }
  };

  return {
    accept,
    endEvent,
    crash,
    restartCount: () => restartCount,
    find: (requestId: string) => jobs.get(requestId),
    cancel(requestId: string) {
      const job = jobs.get(requestId);
      if (job && job.state !== "finished") end(job, "cancelled");
      releaseParts(requestId);
    },
    active: () =>
      // A finished request holds no memory; it is only kept so that its events can be resumed.
      allJobs().filter((job) => job.state !== "finished").map((job) => ({
        requestId: job.requestId,
        tokens: heldTokens(job, PREFIX_BLOCK_TOKENS),
        fencing: job.record.fencing,
        state: job.state,
      })),
    load() {
      const { state, ageMs } = loadHistory.read();
      return {
        restartCount,
        warm: nowMs() - ageMs >= state.coldUntilMs,
        running: state.running,
        usedTokens: state.usedTokens,
        memoryTokens: settings.memoryTokens,
        ageMs,
        models,
        role,
      };
    },
    cacheEvents: cacheEvents.read,
    coverPart(job: EngineJob) {
      const known = coverage.get(job.requestId);
      const isLonger = known?.digest !== job.digest || known.coversTo < job.prefillTo;
      if (isLonger) cover(job.requestId, job.digest, job.prefillTo);
    },
    coverage: (requestId: string) => coverage.get(requestId),
    cover,
    order(order: Omit<EngineLog["orders"][number], "accepted">) {
      const accepted = settings.fencing === "ignored" || order.fencing >= highestOrderFencing;
      log.orders.push({ ...order, accepted });
      if (!accepted) return false;
      highestOrderFencing = Math.max(highestOrderFencing, order.fencing);
      if (order.kind === "unload_model") delete models[order.name];
      else if (order.kind === "set_role") role = order.name;
      else models[order.name] = order.version;
      return true;
    },
    turnCold(forMs: number, reported: boolean) {
      coldUntilMs = nowMs() + forMs / scale;
      isColdHidden = !reported;
      noteLoad();
    },
    readLog: (): EngineLog => ({
      ...log,
      restartCount,
      cold: isCold(),
      running: running.length,
      waiting: waiting.length,
      heldTokens: allJobs().reduce((sum, job) => sum + heldTokens(job, PREFIX_BLOCK_TOKENS), 0),
      usedTokens: cache.usedTokens(),
    }),
  };

  function cover(requestId: string, digest: string, coversTo: number) {
    coverage.set(requestId, { digest, coversTo });
  }
}
