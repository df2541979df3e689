import type { Millis } from "@jaypass/kernel";
import { createCrashGuard } from "./_lib/create_crash_guard.ts";
import type { SentJob } from "./_lib/create_crash_guard.ts";
import { createServerRegistry } from "./_lib/create_server_registry.ts";
import { chooseEngines } from "./choose_engines.ts";
import type { EngineChoice } from "./choose_engines.ts";
import {
  ACTIVE_PLACER_MS,
  BUDGET_RETRY_AFTER_MS,
  COLD_RETRY_AFTER_MS,
  COLD_WINDOW_MS,
  HEDGE_RETRY_BUDGET_SHARE,
  LONG_PREFILL_MIN_MS,
  MAX_HELPERS,
  MAX_QUEUED_PROMPTS,
  NO_SERVER_RETRY_AFTER_MS,
  PACKED_SLOTS_SHARE,
  PASSES_TO_FIRST_BYTE,
  RESERVED_ANSWER_SHARE,
  SOUND_FAILURE_SHARE,
  TIGHT_PACKED_SLOTS_SHARE,
  USABLE_MEMORY_SHARE,
} from "./constants.ts";
import { createRetryLimiter } from "./create_retry_limiter.ts";
import { chooseLeastLoaded } from "./choose_least_loaded.ts";
import { computePassMs } from "./compute_pass_ms.ts";
import { computePrefillMs } from "./compute_prefill_ms.ts";
import { computeUsedSlotsShare } from "./compute_used_slots_share.ts";
import { createSharePolicy } from "./create_share_policy.ts";
import { createSlotQueue } from "./create_slot_queue.ts";
import { listHedgeServers } from "./list_hedge_servers.ts";
import { sampleTwo } from "./sample_two.ts";
import { createLongPromptQueue } from "./create_long_prompt_queue.ts";
import type { ServerLoad } from "./create_server_load.ts";
import type { DecisionRecord, Placer, PlacerOptions, RunningJob } from "./placer_types.ts";
import { JOB_OUTCOME, PLACEMENT_REFUSAL } from "./types.ts";
import type { JobOutcome, PlacementDecision, PlacementJob, PlacementRefusal } from "./types.ts";

/** Stored state of a running job. */
type PlacedJob = Pick<RunningJob, "job" | "serverId" | "helperIds" | "isWriting"> & SentJob;

/**
 * Creates a placer, which decides which servers get a request.
 *
 * @param options clock, limits across all hosts and callbacks
 * @returns a placer without servers
 *
 * @example
 * const placer = createPlacer({ clock, retryLimits, coldLimits, share, canQueue, ... });
 * placer.setServices(services);
 * placer.setServers(servers);
 * const decision = await placer.place(job);
 */
export function createPlacer(options: PlacerOptions): Placer {
  const { clock, retryLimits, share, canQueue, isUncoordinated } = options;
  const { afterRead = (run) => run() } = options;
  const registry = createServerRegistry(options);
  const placedJobs = new Map<string, PlacedJob>();
  const shares = createSharePolicy({
    clock,
    // A host that places alone does not know the work of the other hosts' callers.
    isPrioritized: (service) => registry.isPrioritized(service) && canQueue(),
    profileOf: registry.profileOf,
    usedSlotsShare: (job) => computeUsedSlotsShare(registry.listUsable(job)),
    onEvent: options.onShareEvent,
  });
  let lastDispatchMs = -Infinity;
  const crashGuard = createCrashGuard({ ...options, running: () => placedJobs.values() });
  const retryLimiter = createRetryLimiter({ clock, limits: retryLimits, share });

  const recordDecision = (
    job: PlacementJob,
    decision: DecisionRecord["decision"],
    choice?: EngineChoice,
    more: Pick<DecisionRecord, "cause" | "returned"> = {},
  ) =>
    options.onDecision?.({
      ...shares.describe(job),
      ...more,
      jobId: job.id,
      decision,
      promptTokens: job.promptTokens,
      elapsedMs: Math.round(job.elapsedMs),
      usable: registry.listUsable(job).length,
      waiting: longPromptQueue.size(),
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
    cause?: DecisionRecord["cause"],
  ): PlacementDecision => {
    recordDecision(job, reason, undefined, cause && { cause });
    const toldMs = shares.refused(job, { reason, retryAfterMs, cause });
    return { kind: "refused", reason, retryAfterMs: toldMs };
  };

  const markDelayed = (choice: EngineChoice) => {
    for (const load of [choice.primary, ...choice.helpers]) {
      if (choice.partMs > load.prefillHeadroomMs()) load.markDelayed();
    }
  };

  /** Adds a job to the load of its servers. */
  const addLoad = (entry: RunningJob) => {
    const { job, serverId, helperIds, isWriting, tickets, partMs, ageMs } = entry;
    const expectedMs = isWriting ? undefined : entry.usualMs;
    const isSplit = helperIds.length > 0;
    const placed: PlacedJob = {
      job,
      serverId,
      helperIds,
      isWriting,
      serverStart: `${serverId}/${registry.find(serverId)?.server.bornMs}`,
      sentMs: clock.nowMs() - ageMs,
      writingSinceMs: isWriting ? clock.nowMs() : undefined,
    };
    placedJobs.set(job.id, placed);
    crashGuard.recordSend(placed);
    const reservedTokens = new Map(tickets.map((ticket) => [ticket.serverId, ticket.tokens]));
    const helperTokens = tickets.reduce((sum, ticket) => sum + ticket.tokens, 0);
    for (const id of [serverId, ...helperIds]) {
      const isPrimary = id === serverId;
      const memoryTokens = isPrimary
        ? job.promptTokens + job.answerTokens - helperTokens
        : reservedTokens.get(id) ?? 0;
      const part = { prefillMs: partMs, expectedMs, isSplit, memoryTokens, isPrimary, ageMs };
      registry.find(id)?.add(job, part);
      if (isWriting) registry.find(id)?.markDecoding(job.id);
    }
  };

  const choose = (
    job: PlacementJob,
    usable: ServerLoad[],
    times: { waitedMs: Millis; remainingMs: Millis },
  ): EngineChoice | undefined => {
    const profile = registry.profileOf(job.service);
    if (profile === undefined) return chooseLeastLoaded(usable, job.dataCentre);
    const packedShare = longPromptQueue.size() > 0 ? TIGHT_PACKED_SLOTS_SHARE : PACKED_SLOTS_SHARE;
    const candidates = isUncoordinated() && !isLong(job)
      ? sampleTwo(usable, job.id, (load) => load.server.id)
      : usable;
    return chooseEngines(job, candidates, { profile, packedShare, ...times });
  };

  const dispatch = (job: PlacementJob, choice: EngineChoice): PlacementDecision => {
    // Its content may have been found to crash servers while the job was queued.
    const refusalMs = crashGuard.findRefusalMs(job);
    if (refusalMs !== undefined) return refuse(job, PLACEMENT_REFUSAL.QUARANTINED, refusalMs);
    const budgetShare = job.isHedge ? HEDGE_RETRY_BUDGET_SHARE : 1;
    const budgetOptions = { workspace: shares.retryWorkspace(job), budgetShare };
    if (job.isRetry && !retryLimiter.tryAcquire(job.service, budgetOptions)) {
      return refuse(job, PLACEMENT_REFUSAL.RETRY_BUDGET, BUDGET_RETRY_AFTER_MS);
    }
    if (!job.isRetry) retryLimiter.countFirstAttempt(job.service);
    crashGuard.countTrial(job);
    recordDecision(job, "placed", choice);
    shares.placed(job);
    lastDispatchMs = clock.nowMs();
    const { tickets, expectedMs, usual } = choice;
    const { partMs, expectedMs: usualMs } = usual ?? choice;
    const serverId = choice.primary.server.id;
    const helperIds = choice.helpers.map((helper) => helper.server.id);
    markDelayed(choice);
    addLoad({ job, serverId, helperIds, tickets, partMs, usualMs, ageMs: 0, isWriting: false });
    choice.primary.countSend();
    const placed = { kind: "placed", serverId, helperIds, tickets, partMs, expectedMs } as const;
    if (usual === undefined) return placed;
    const { writeFactor } = usual;
    return { ...placed, usualMs, ...writeFactor > 1 && { writeFactor } };
  };

  /** Counts a job that another placer has sent. */
  const countSend = ({ job, serverId }: RunningJob) => {
    registry.find(serverId)?.countSend();
    if (job.isRetry) retryLimiter.countRetry(job.service, shares.retryWorkspace(job));
    else retryLimiter.countFirstAttempt(job.service);
  };

  const minPrefillMs = (job: PlacementJob): Millis => {
    const profile = registry.profileOf(job.service);
    if (profile === undefined) return 0;
    const engineCount = Math.min(registry.listUsable(job).length, MAX_HELPERS + 1);
    return computePrefillMs(job.promptTokens, profile) / Math.max(1, engineCount);
  };

  const longPromptQueue = createLongPromptQueue({
    choose: (job, waitedMs, remainingMs) =>
      choose(job, crashGuard.separate(job, registry.listAvailable(job), false), {
        waitedMs,
        remainingMs,
      }),
    minPrefillMs,
    backlogMs(job) {
      const usable = registry.listUsable(job);
      const totalMs = usable.reduce((sum, load) => sum + load.snapshot().backlogMs, 0);
      return totalMs / Math.max(1, usable.length);
    },
    dispatch,
    refuse: (job, retryAfterMs, cause) =>
      refuse(
        job,
        PLACEMENT_REFUSAL.UNSERVABLE,
        Math.max(NO_SERVER_RETRY_AFTER_MS, retryAfterMs),
        cause,
      ),
    policy: shares,
  }, clock);

  const hasFreeSlot = (load: ServerLoad) => load.requests() < load.server.slots;

  /** Returns the milliseconds from a free slot of an otherwise full engine to the first byte. */
  const slotToFirstByteMs = (job: PlacementJob): Millis => {
    const profile = registry.profileOf(job.service);
    if (profile === undefined) return 0;
    const contextTokens = profile.slots * profile.usualPromptTokens;
    const passMs = computePassMs(profile.slots, contextTokens, profile);
    return computePrefillMs(job.promptTokens, profile) + PASSES_TO_FIRST_BYTE * passMs;
  };

  /**
   * Places a prompt on an engine with a free slot. A prompt that would be late there waits for a
   * slot of another engine as long as it could still meet its goal there, and one whose caller would
   * leave before the first byte waits for any other engine.
   */
  const dispatchToSlot = (job: PlacementJob): PlacementDecision | undefined => {
    const available = registry.listAvailable(job);
    const free = crashGuard.separate(job, available.filter(hasFreeSlot), true);
    if (free.length === 0) return undefined;
    const choice = choose(job, free, { waitedMs: job.elapsedMs, remainingMs: job.remainingMs });
    if (choice === undefined || choice.expectedMs > job.remainingMs) return undefined;
    const canMeetGoal = job.elapsedMs + slotToFirstByteMs(job) <= job.goalMs;
    const hasFullEngines = free.length < available.length;
    if (!choice.isOnTime && canMeetGoal && hasFullEngines) return undefined;
    return dispatch(job, choice);
  };

  const slotQueue = createSlotQueue({
    expectedMs: slotToFirstByteMs,
    hasFreeSlot: (job) => registry.listAvailable(job).some(hasFreeSlot),
    dispatch: dispatchToSlot,
    refuse: (job, cause, aheadMs) =>
      refuse(
        job,
        PLACEMENT_REFUSAL.UNSERVABLE,
        shares.drainMs(job.service, aheadMs) ?? NO_SERVER_RETRY_AFTER_MS,
        cause,
      ),
    policy: shares,
  }, clock);

  const isLong = (job: PlacementJob) => {
    const profile = registry.profileOf(job.service);
    return profile !== undefined &&
      computePrefillMs(job.promptTokens, profile) >= LONG_PREFILL_MIN_MS;
  };

  const isForModel = (job: PlacementJob) => registry.profileOf(job.service) !== undefined;

  const fitsWhenIdle = (job: PlacementJob, usable: ServerLoad[]) => {
    const memoryTokens = (registry.profileOf(job.service)?.memoryTokens ?? 0) * USABLE_MEMORY_SHARE;
    const engineCount = Math.min(usable.length, MAX_HELPERS + 1);
    return job.promptTokens + job.answerTokens <= memoryTokens * engineCount;
  };

  /** Shortens the time to the first byte so that the complete answer can arrive by the deadline. */
  const reserveAnswerTime = (job: PlacementJob): PlacementJob => {
    const profile = registry.profileOf(job.service);
    if (profile === undefined) return job;
    const passes = RESERVED_ANSWER_SHARE * job.answerTokens / profile.stepsPerPass;
    const answerMs = passes * computePassMs(1, job.promptTokens, profile);
    return { ...job, remainingMs: Math.min(job.remainingMs, job.wholeWithinMs - answerMs) };
  };

  /** Places a hedge at once or refuses it, since a hedge that waits is of no use. */
  const placeHedge = (job: PlacementJob): PlacementDecision => {
    const servers = listHedgeServers({
      all: registry.listUsable({ ...job, excludedIds: [] }),
      available: registry.listAvailable(job),
      waitingCount: slotQueue.size() + longPromptQueue.size(),
      nowMs: clock.nowMs(),
    });
    const times = { waitedMs: job.elapsedMs, remainingMs: job.remainingMs };
    const candidates = crashGuard.separate(job, servers, true);
    const choice = candidates.length === 0 ? undefined : choose(job, candidates, times);
    const isReady = choice !== undefined && choice.expectedMs <= job.remainingMs &&
      (!isLong(job) || longPromptQueue.isReady(choice));
    return isReady
      ? dispatch(job, choice)
      : refuse(job, PLACEMENT_REFUSAL.NO_SPARE_ROOM, NO_SERVER_RETRY_AFTER_MS);
  };

  const place = (requestedJob: PlacementJob): PlacementDecision | Promise<PlacementDecision> => {
    const job = reserveAnswerTime(requestedJob);
    crashGuard.review();
    const refusalMs = crashGuard.findRefusalMs(job);
    if (refusalMs !== undefined) return refuse(job, PLACEMENT_REFUSAL.QUARANTINED, refusalMs);
    const usable = registry.listUsable(job);
    if (usable.length === 0) {
      return refuse(job, PLACEMENT_REFUSAL.NO_SERVER, NO_SERVER_RETRY_AFTER_MS);
    }
    if (job.isHedge) return placeHedge(job);
    const available = registry.listAvailable(job);
    if (available.length === 0) {
      return refuse(job, PLACEMENT_REFUSAL.COLD_LIMIT, COLD_RETRY_AFTER_MS);
    }
    if (minPrefillMs(job) > job.remainingMs) {
      return refuse(job, PLACEMENT_REFUSAL.UNSERVABLE, NO_SERVER_RETRY_AFTER_MS);
    }
    const returned = shares.arrived(job);
    const canQueueForSlot = canQueue() && isForModel(job) && !isLong(job) &&
      fitsWhenIdle(job, usable);
    const hasRoom = slotQueue.size() < MAX_QUEUED_PROMPTS;
    if (canQueueForSlot && (hasRoom || slotQueue.makeRoom(job))) {
      const decision = slotQueue.size() === 0 ? dispatchToSlot(job) : undefined;
      if (decision !== undefined) return decision;
      recordDecision(job, "waits", undefined, returned && { returned });
      const waiting = slotQueue.add(job, returned);
      slotQueue.dispatchReady();
      return waiting;
    }
    if (canQueueForSlot && registry.isPrioritized(job.service) && !available.some(hasFreeSlot)) {
      return refuse(job, PLACEMENT_REFUSAL.UNSERVABLE, NO_SERVER_RETRY_AFTER_MS, "full");
    }
    const choice = choose(job, crashGuard.separate(job, available, false), {
      waitedMs: job.elapsedMs,
      remainingMs: job.remainingMs,
    });
    const isReady = choice !== undefined && longPromptQueue.isReady(choice);
    const canQueueLong = canQueue() && isLong(job) &&
      (longPromptQueue.hasRoom() || (!isReady && longPromptQueue.makeRoom(job)));
    if (choice !== undefined && (!canQueueLong || isReady)) return dispatch(job, choice);
    if (canQueueLong && fitsWhenIdle(job, usable)) {
      recordDecision(job, "waits", choice, returned && { returned });
      return longPromptQueue.add(job, returned);
    }
    return refuse(job, PLACEMENT_REFUSAL.TOO_LARGE, NO_SERVER_RETRY_AFTER_MS);
  };

  const listServerIds = (entry: PlacedJob) => [entry.serverId, ...entry.helperIds];

  const cancelQueued = (jobId: string) => {
    longPromptQueue.cancel(jobId);
    slotQueue.cancel(jobId);
  };

  /** Removes a job from the load of its servers. */
  const removeLoad = (jobId: string): PlacedJob | undefined => {
    const entry = placedJobs.get(jobId);
    if (entry === undefined) return undefined;
    placedJobs.delete(jobId);
    for (const id of listServerIds(entry)) registry.find(id)?.remove(jobId);
    return entry;
  };

  const recordOutcome = (entry: PlacedJob, outcome: JobOutcome, faultyServerId?: string) => {
    const faultyServer = registry.find(faultyServerId ?? entry.serverId);
    if (outcome === JOB_OUTCOME.ANSWERED) {
      registry.find(entry.serverId)?.clearSuspicion();
      registry.find(entry.serverId)?.failures.record(false, entry.sentMs);
    } else if (outcome !== JOB_OUTCOME.CANCELLED) {
      faultyServer?.failures.record(true, entry.sentMs);
      // A server that still answers other requests is avoided by degrees.
      const isAlive = faultyServer?.failures.isPartial() ?? false;
      if (outcome !== JOB_OUTCOME.FAILED && !isAlive) faultyServer?.markSuspect();
    }
    crashGuard.recordEnd(entry, outcome);
  };

  return {
    setServers: registry.setServers,
    markLeaving: registry.markLeaving,
    hasColdServers: registry.hasColdServers,
    setServices: registry.setServices,
    place,
    applyReport(serverId, report) {
      registry.find(serverId)?.applyReport(report);
      registry.applyPace(serverId, report.pace);
    },
    applyPace: registry.applyPace,
    listDegraded() {
      const isActive = clock.nowMs() - lastDispatchMs < ACTIVE_PLACER_MS;
      return registry.list().map(({ server, speed, failures }) => ({
        serverId: server.id,
        factor: speed.factor(),
        failureShare: failures.share(),
        wantsPace: isActive && speed.wantsPace(),
      })).filter(({ factor, failureShare, wantsPace }) =>
        factor > 1 || failureShare >= SOUND_FAILURE_SHARE || wantsPace
      );
    },
    dispatchReady() {
      crashGuard.review();
      for (const load of registry.list()) load.observeOverdue();
      slotQueue.dispatchReady();
      longPromptQueue.dispatchReady();
    },
    addRunning(entry) {
      // The report of the job's host overrides this placer's own decision.
      cancelQueued(entry.job.id);
      const known = removeLoad(entry.job.id);
      addLoad(entry);
      if (known !== undefined) return;
      shares.placed(entry.job, entry.ageMs);
      // The limits hold for all placers together, so that one that takes over must know their use.
      if (entry.ageMs < COLD_WINDOW_MS) countSend(entry);
    },
    started(jobId) {
      const entry = placedJobs.get(jobId);
      if (entry === undefined) return;
      entry.isWriting = true;
      entry.writingSinceMs ??= clock.nowMs();
      crashGuard.recordStart(entry);
      for (const id of listServerIds(entry)) registry.find(id)?.markDecoding(jobId);
    },
    finished(jobId, outcome, faultyServerId) {
      cancelQueued(jobId);
      const entry = removeLoad(jobId);
      if (entry === undefined) return;
      shares.ended(entry.job);
      recordOutcome(entry, outcome, faultyServerId);
      if (slotQueue.size() === 0) return;
      if (registry.hasColdServers()) afterRead(() => slotQueue.dispatchReady());
      else slotQueue.dispatchReady();
    },
  };
}
