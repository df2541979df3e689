import type { Millis } from "@jaypass/kernel";
import { createServerRegistry } from "./_lib/create_server_registry.ts";
import { chooseEngines } from "./choose_engines.ts";
import type { EngineChoice } from "./choose_engines.ts";
import {
  BUDGET_RETRY_AFTER_MS,
  COLD_RETRY_AFTER_MS,
  LONG_PREFILL_MIN_MS,
  MAX_HELPERS,
  MAX_QUEUED_PROMPTS,
  NO_SERVER_RETRY_AFTER_MS,
  PACKED_SLOTS_SHARE,
  PASSES_TO_FIRST_BYTE,
  QUARANTINE_MS,
  RESERVED_ANSWER_SHARE,
  TIGHT_PACKED_SLOTS_SHARE,
  USABLE_MEMORY_SHARE,
} from "./constants.ts";
import { createCrashQuarantine } from "./create_crash_quarantine.ts";
import { createRetryLimiter } from "./create_retry_limiter.ts";
import { chooseLeastLoaded } from "./choose_least_loaded.ts";
import { computePassMs } from "./compute_pass_ms.ts";
import { computePrefillMs } from "./compute_prefill_ms.ts";
import { createSlotQueue } from "./create_slot_queue.ts";
import { sampleTwo } from "./sample_two.ts";
import { createLongPromptQueue } from "./create_long_prompt_queue.ts";
import type { ServerLoad } from "./create_server_load.ts";
import type { DecisionRecord, Placer, PlacerOptions, RunningJob } from "./placer_types.ts";
import { JOB_OUTCOME, PLACEMENT_REFUSAL } from "./types.ts";
import type { JobOutcome, PlacementDecision, PlacementJob, PlacementRefusal } from "./types.ts";

/** What is kept of a job that runs. */
type PlacedJob = Pick<RunningJob, "job" | "serverId" | "helperIds" | "isWriting">;

/**
 * Creates the placement of requests on servers.
 *
 * @param options clock and the limits that hold over all hosts
 * @returns the placer, without servers
 *
 * @example
 * const placer = createPlacer({ clock, retryLimits, coldLimits, share, canWait, isAlone, seed: "" });
 * placer.setServices(services);
 * placer.setServers(servers);
 * const decision = await placer.place(job);
 */
export function createPlacer(options: PlacerOptions): Placer {
  const { clock, retryLimits, share, canQueue: canWait, isUncoordinated: isAlone } = options;
  const servers = createServerRegistry(options);
  const running = new Map<string, PlacedJob>();
  const quarantine = createCrashQuarantine(clock);
  const limiter = createRetryLimiter({ clock, limits: retryLimits, share });

  const note = (
    job: PlacementJob,
    decision: DecisionRecord["decision"],
    choice?: EngineChoice,
  ) =>
    options.onDecision?.({
      jobId: job.id,
      decision,
      promptTokens: job.promptTokens,
      elapsedMs: Math.round(job.elapsedMs),
      usable: servers.listUsable(job).length,
      waiting: line.size(),
      serverId: choice?.primary.server.id,
      helperIds: choice?.helpers.map((helper) => helper.server.id),
      backlogMs: choice && Math.round(choice.backlogMs),
      expectedMs: choice && Math.round(choice.expectedMs),
      harm: choice && Math.round(choice.delayCost),
    });

  const refuse = (
    job: PlacementJob,
    reason: PlacementRefusal,
    retryAfterMs: Millis,
  ): PlacementDecision => {
    note(job, reason);
    return { kind: "refused", reason, retryAfterMs };
  };

  const markDelayed = (choice: EngineChoice) => {
    for (const load of [choice.primary, ...choice.helpers]) {
      if (choice.partMs > load.prefillHeadroomMs()) load.markDelayed();
    }
  };

  /** Counts a job on the servers that it takes. */
  const count = (entry: RunningJob) => {
    const { job, serverId, helperIds, isWriting, tickets, partMs, ageMs } = entry;
    running.set(job.id, { job, serverId, helperIds, isWriting });
    const reserved = new Map(tickets.map((ticket) => [ticket.serverId, ticket.tokens]));
    const elsewhere = tickets.reduce((sum, ticket) => sum + ticket.tokens, 0);
    for (const id of [serverId, ...helperIds]) {
      const isFirst = id === serverId;
      const memoryTokens = isFirst
        ? job.promptTokens + job.answerTokens - elsewhere
        : reserved.get(id) ?? 0;
      servers.find(id)?.add(job, { prefillMs: partMs, memoryTokens, isPrimary: isFirst, ageMs });
      if (isWriting) servers.find(id)?.markDecoding(job.id);
    }
  };

  const choose = (
    job: PlacementJob,
    usable: ServerLoad[],
    times: { waitedMs: Millis; leftMs: Millis },
  ): EngineChoice | undefined => {
    const profile = servers.profileOf(job.service);
    if (profile === undefined) return chooseLeastLoaded(usable);
    const packedShare = line.size() > 0 ? TIGHT_PACKED_SLOTS_SHARE : PACKED_SLOTS_SHARE;
    const drawn = isAlone() && !isLong(job)
      ? sampleTwo(usable, job.id, (load) => load.server.id)
      : usable;
    return chooseEngines(job, drawn, { profile, packedShare, ...times });
  };

  const dispatch = (job: PlacementJob, choice: EngineChoice): PlacementDecision => {
    if (job.isRetry && !limiter.tryAcquire(job.service)) {
      return refuse(job, PLACEMENT_REFUSAL.RETRY_BUDGET, BUDGET_RETRY_AFTER_MS);
    }
    if (!job.isRetry) limiter.countFirstAttempt(job.service);
    note(job, "placed", choice);
    const { tickets, partMs, expectedMs } = choice;
    const serverId = choice.primary.server.id;
    const helperIds = choice.helpers.map((helper) => helper.server.id);
    markDelayed(choice);
    count({ job, serverId, helperIds, tickets, partMs, ageMs: 0, isWriting: false });
    choice.primary.countSend();
    return { kind: "placed", serverId, helperIds, tickets, partMs, expectedMs };
  };

  const leastReadMs = (job: PlacementJob): Millis => {
    const profile = servers.profileOf(job.service);
    if (profile === undefined) return 0;
    const engines = Math.min(servers.listUsable(job).length, MAX_HELPERS + 1);
    return computePrefillMs(job.promptTokens, profile) / Math.max(1, engines);
  };

  const line = createLongPromptQueue({
    choose: (job, waitedMs, leftMs) =>
      choose(job, servers.listAvailable(job), { waitedMs, leftMs }),
    minPrefillMs: leastReadMs,
    backlogMs(job) {
      const usable = servers.listUsable(job);
      const totalMs = usable.reduce((sum, load) => sum + load.prefillBacklogMs(), 0);
      return totalMs / Math.max(1, usable.length);
    },
    dispatch,
    refuse: (job, retryAfterMs) =>
      refuse(
        job,
        PLACEMENT_REFUSAL.UNSERVABLE,
        Math.max(NO_SERVER_RETRY_AFTER_MS, retryAfterMs),
      ),
  }, clock);

  const hasFreeSlot = (load: ServerLoad) => load.requests() < load.server.slots;

  /** Milliseconds from a free slot to the first byte on an engine that is full of short prompts. */
  const fromSlotMs = (job: PlacementJob): Millis => {
    const profile = servers.profileOf(job.service);
    if (profile === undefined) return 0;
    const contextTokens = profile.slots * profile.usualPromptTokens;
    const passMs = computePassMs(profile.slots, contextTokens, profile);
    return computePrefillMs(job.promptTokens, profile) + PASSES_TO_FIRST_BYTE * passMs;
  };

  /**
   * Sends a prompt to an engine with a free slot. A prompt that would be late there and not on
   * another engine waits for a slot of that one, until it is late anyway.
   */
  const dispatchToSlot = (job: PlacementJob): PlacementDecision | undefined => {
    const open = servers.listAvailable(job);
    const free = open.filter(hasFreeSlot);
    if (free.length === 0) return undefined;
    const choice = choose(job, free, { waitedMs: job.elapsedMs, leftMs: job.remainingMs });
    if (choice === undefined) return undefined;
    const mayStillBeInTime = job.elapsedMs + fromSlotMs(job) <= job.goalMs;
    const hasOthers = free.length < open.length;
    if (!choice.isOnTime && mayStillBeInTime && hasOthers) return undefined;
    return dispatch(job, choice);
  };

  const slotQueue = createSlotQueue({
    expectedMs: fromSlotMs,
    hasFreeSlot: (job) => servers.listAvailable(job).some(hasFreeSlot),
    dispatch: dispatchToSlot,
    refuse: (job) => refuse(job, PLACEMENT_REFUSAL.UNSERVABLE, NO_SERVER_RETRY_AFTER_MS),
  }, clock);

  const isLong = (job: PlacementJob) => {
    const profile = servers.profileOf(job.service);
    return profile !== undefined &&
      computePrefillMs(job.promptTokens, profile) >= LONG_PREFILL_MIN_MS;
  };

  const hasModel = (job: PlacementJob) => servers.profileOf(job.service) !== undefined;

  const fitsWhenIdle = (job: PlacementJob, usable: ServerLoad[]) => {
    const memory = (servers.profileOf(job.service)?.memoryTokens ?? 0) * USABLE_MEMORY_SHARE;
    const engines = Math.min(usable.length, MAX_HELPERS + 1);
    return job.promptTokens + job.answerTokens <= memory * engines;
  };

  /** The job with its first byte due early enough for the whole answer to come in time. */
  const withAnswerTime = (job: PlacementJob): PlacementJob => {
    const profile = servers.profileOf(job.service);
    if (profile === undefined) return job;
    const passes = RESERVED_ANSWER_SHARE * job.answerTokens / profile.stepsPerPass;
    const answerMs = passes * computePassMs(1, job.promptTokens, profile);
    return { ...job, remainingMs: Math.min(job.remainingMs, job.wholeWithinMs - answerMs) };
  };

  const place = (asked: PlacementJob): PlacementDecision | Promise<PlacementDecision> => {
    const job = withAnswerTime(asked);
    if (quarantine.isQuarantined(job.fingerprint)) {
      return refuse(job, PLACEMENT_REFUSAL.QUARANTINED, QUARANTINE_MS);
    }
    const usable = servers.listUsable(job);
    if (usable.length === 0) {
      return refuse(job, PLACEMENT_REFUSAL.NO_SERVER, NO_SERVER_RETRY_AFTER_MS);
    }
    const open = servers.listAvailable(job);
    if (open.length === 0) return refuse(job, PLACEMENT_REFUSAL.COLD_LIMIT, COLD_RETRY_AFTER_MS);
    if (leastReadMs(job) > job.remainingMs) {
      return refuse(job, PLACEMENT_REFUSAL.UNSERVABLE, NO_SERVER_RETRY_AFTER_MS);
    }
    const mayQueue = canWait() && hasModel(job) && !isLong(job) && fitsWhenIdle(job, usable);
    if (mayQueue && slotQueue.size() < MAX_QUEUED_PROMPTS) {
      const decision = slotQueue.size() === 0 ? dispatchToSlot(job) : undefined;
      if (decision !== undefined) return decision;
      note(job, "waits");
      const waiting = slotQueue.add(job);
      slotQueue.dispatchReady();
      return waiting;
    }
    const choice = choose(job, open, { waitedMs: job.elapsedMs, leftMs: job.remainingMs });
    const mayWait = canWait() && isLong(job) && line.hasRoom();
    if (choice !== undefined && (!mayWait || line.isReady(choice))) return dispatch(job, choice);
    if (mayWait && fitsWhenIdle(job, usable)) {
      note(job, "waits", choice);
      return line.add(job);
    }
    return refuse(job, PLACEMENT_REFUSAL.TOO_LARGE, NO_SERVER_RETRY_AFTER_MS);
  };

  const serversOf = (entry: PlacedJob) => [entry.serverId, ...entry.helperIds];

  const stopWaiting = (jobId: string) => {
    line.cancel(jobId);
    slotQueue.cancel(jobId);
  };

  /** Takes a job off the servers that it was counted on. */
  const discount = (jobId: string): PlacedJob | undefined => {
    const entry = running.get(jobId);
    if (entry === undefined) return undefined;
    running.delete(jobId);
    for (const id of serversOf(entry)) servers.find(id)?.remove(jobId);
    return entry;
  };

  const judgeServer = (entry: PlacedJob, outcome: JobOutcome, faultyServerId?: string) => {
    const faulty = servers.find(faultyServerId ?? entry.serverId);
    if (outcome === JOB_OUTCOME.ANSWERED) {
      servers.find(entry.serverId)?.clearSuspicion();
      quarantine.clear(entry.job.fingerprint);
    } else if (
      outcome === JOB_OUTCOME.BROKEN || outcome === JOB_OUTCOME.SILENT ||
      outcome === JOB_OUTCOME.REJECTED
    ) {
      faulty?.markSuspect();
    }
    if (outcome === JOB_OUTCOME.BROKEN && !entry.isWriting) {
      quarantine.countCrash(entry.job.fingerprint, entry.serverId);
    }
  };

  return {
    setServers: servers.setServers,
    setServices: servers.setServices,
    place,
    applyReport: (serverId, report) => servers.find(serverId)?.applyReport(report),
    dispatchReady() {
      slotQueue.dispatchReady();
      line.dispatchReady();
    },
    addRunning(entry) {
      // What its host says of the job goes before what was decided here.
      stopWaiting(entry.job.id);
      discount(entry.job.id);
      count(entry);
    },
    started(jobId) {
      const entry = running.get(jobId);
      if (entry === undefined) return;
      entry.isWriting = true;
      for (const id of serversOf(entry)) servers.find(id)?.markDecoding(jobId);
    },
    finished(jobId, outcome, faultyServerId) {
      stopWaiting(jobId);
      const entry = discount(jobId);
      if (entry === undefined) return;
      judgeServer(entry, outcome, faultyServerId);
      slotQueue.dispatchReady();
    },
  };
}
