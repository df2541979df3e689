import { createHash } from "node:crypto";
import type { Millis } from "@jaypass/kernel";
import { chooseEngines } from "./choose_engines.ts";
import type { EngineChoice } from "./choose_engines.ts";
import {
  BUDGET_RETRY_AFTER_MS,
  COLD_RETRY_AFTER_MS,
  LONG_READ_MS,
  MAX_HELPERS,
  MAX_WAITING,
  MEMORY_SHARE,
  NO_SERVER_RETRY_AFTER_MS,
  PACKED_SLOTS_SHARE,
  PASSES_TO_FIRST_BYTE,
  QUARANTINE_MS,
  SURE_ANSWER_SHARE,
  TIGHT_SLOTS_SHARE,
} from "./constants.ts";
import { createCrashQuarantine } from "./create_crash_quarantine.ts";
import { createRetryLimiter } from "./create_retry_limiter.ts";
import { chooseLeastLoaded } from "./choose_least_loaded.ts";
import { computePassMs } from "./compute_pass_ms.ts";
import { computeReadMs } from "./compute_read_ms.ts";
import { createSlotQueue } from "./create_slot_queue.ts";
import { createWaitingLine } from "./create_waiting_line.ts";
import { createServerLoad } from "./create_server_load.ts";
import type { ServerLoad } from "./create_server_load.ts";
import type { DecisionNote, Placer, PlacerOptions, RunningJob } from "./placer_types.ts";
import { JOB_OUTCOME, PLACEMENT_REFUSAL } from "./types.ts";
import type {
  JobOutcome,
  PlacementDecision,
  PlacementJob,
  PlacementRefusal,
  PlacementService,
} from "./types.ts";

/** What is kept of a job that runs. */
type PlacedJob = Pick<RunningJob, "job" | "serverId" | "helperIds" | "isWriting">;

/** Part of the cold limit that is never used, since a second of the server is not ours. */
const COLD_RESERVED_SHARE = 0.3;

/**
 * Creates the placement of requests on servers.
 *
 * @param options clock and the limits that hold over all hosts
 * @returns the placer, without servers
 *
 * @example
 * const placer = createPlacer({ clock, retryLimits, coldLimits, share, canWait, seed: "" });
 * placer.setServices(services);
 * placer.setServers(servers);
 * const decision = await placer.place(job);
 */
export function createPlacer(options: PlacerOptions): Placer {
  const { clock, retryLimits, coldLimits, share, canWait, seed } = options;
  const services = new Map<string, PlacementService>();
  const loads = new Map<string, ServerLoad>();
  const ranks = new Map<string, string>();
  const running = new Map<string, PlacedJob>();
  const quarantine = createCrashQuarantine(clock);
  const limiter = createRetryLimiter({ clock, limits: retryLimits, share });

  const note = (
    job: PlacementJob,
    decision: DecisionNote["decision"],
    choice?: EngineChoice,
  ) =>
    options.onDecision?.({
      jobId: job.id,
      decision,
      promptTokens: job.promptTokens,
      elapsedMs: Math.round(job.elapsedMs),
      usable: listUsable(job).length,
      waiting: line.size(),
      serverId: choice?.first.server.id,
      helperIds: choice?.helpers.map((helper) => helper.server.id),
      backlogMs: choice && Math.round(choice.backlogMs),
      expectedMs: choice && Math.round(choice.expectedMs),
      harm: choice && Math.round(choice.harm),
    });

  const refuse = (
    job: PlacementJob,
    reason: PlacementRefusal,
    retryAfterMs: Millis,
  ): PlacementDecision => {
    note(job, reason);
    return { kind: "refused", reason, retryAfterMs };
  };

  const isWithinColdLimit = (load: ServerLoad) => {
    const rate = services.get(load.server.service)?.coldRequestsPerS ?? 0;
    if (rate === 0 || clock.nowMs() > load.server.coldUntilMs) return true;
    const limit = (rate * coldLimits.multiplier + coldLimits.slack) * share();
    return load.recentSends() + 1 <= Math.max(1, limit * (1 - COLD_RESERVED_SHARE));
  };

  const listUsable = (job: PlacementJob) => {
    const all = [...loads.values()].filter(({ server }) =>
      server.service === job.service && !job.excludedIds.includes(server.id)
    );
    const trusted = all.filter((load) => !load.isSuspect());
    return (trusted.length > 0 ? trusted : all)
      .sort((a, b) => rankOf(a.server.id) < rankOf(b.server.id) ? -1 : 1);
  };

  const rankOf = (serverId: string): string => {
    const known = ranks.get(serverId);
    if (known !== undefined) return known;
    const rank = createHash("sha1").update(`${seed}/${serverId}`).digest("hex");
    ranks.set(serverId, rank);
    return rank;
  };

  const markDelayed = (choice: EngineChoice) => {
    for (const load of [choice.first, ...choice.helpers]) {
      if (choice.partMs > load.readRoomMs()) load.markDelayed();
    }
  };

  const record = (job: PlacementJob, choice: EngineChoice) => {
    const reserved = new Map(choice.tickets.map((ticket) => [ticket.serverId, ticket.tokens]));
    const total = job.promptTokens + job.answerTokens;
    const elsewhere = choice.tickets.reduce((sum, ticket) => sum + ticket.tokens, 0);
    markDelayed(choice);
    choice.first.add(job, {
      readMs: choice.partMs,
      memoryTokens: total - elsewhere,
      isFirst: true,
    });
    for (const helper of choice.helpers) {
      const memoryTokens = reserved.get(helper.server.id) ?? 0;
      helper.add(job, { readMs: choice.partMs, memoryTokens, isFirst: false });
    }
    choice.first.countSend();
    running.set(job.id, {
      job,
      serverId: choice.first.server.id,
      helperIds: choice.helpers.map((helper) => helper.server.id),
      isWriting: false,
    });
  };

  const choose = (
    job: PlacementJob,
    usable: ServerLoad[],
    times: { waitedMs: Millis; leftMs: Millis },
  ): EngineChoice | undefined => {
    const profile = services.get(job.service)?.engine;
    if (profile === undefined) return chooseLeastLoaded(usable);
    const packedShare = line.size() > 0 ? TIGHT_SLOTS_SHARE : PACKED_SLOTS_SHARE;
    return chooseEngines(job, usable, { profile, packedShare, ...times });
  };

  const dispatch = (job: PlacementJob, choice: EngineChoice): PlacementDecision => {
    if (job.isRetry && !limiter.tryTake(job.service)) {
      return refuse(job, PLACEMENT_REFUSAL.RETRY_BUDGET, BUDGET_RETRY_AFTER_MS);
    }
    if (!job.isRetry) limiter.countFirst(job.service);
    note(job, "placed", choice);
    record(job, choice);
    return {
      kind: "placed",
      serverId: choice.first.server.id,
      helperIds: choice.helpers.map((helper) => helper.server.id),
      tickets: choice.tickets,
      partMs: choice.partMs,
      expectedMs: choice.expectedMs,
    };
  };

  const listOpen = (job: PlacementJob) => listUsable(job).filter(isWithinColdLimit);

  const leastReadMs = (job: PlacementJob): Millis => {
    const profile = services.get(job.service)?.engine;
    if (profile === undefined) return 0;
    const engines = Math.min(listUsable(job).length, MAX_HELPERS + 1);
    return computeReadMs(job.promptTokens, profile) / Math.max(1, engines);
  };

  const line = createWaitingLine({
    choose: (job, waitedMs, leftMs) => choose(job, listOpen(job), { waitedMs, leftMs }),
    leastReadMs,
    dispatch,
    refuse: (job) => refuse(job, PLACEMENT_REFUSAL.UNSERVABLE, NO_SERVER_RETRY_AFTER_MS),
  }, clock);

  const hasFreeSlot = (load: ServerLoad) => load.requests() < load.server.slots;

  /** Sends a prompt to an engine with a free slot; undefined while there is none. */
  const dispatchToSlot = (job: PlacementJob): PlacementDecision | undefined => {
    const free = listOpen(job).filter(hasFreeSlot);
    if (free.length === 0) return undefined;
    const choice = choose(job, free, { waitedMs: job.elapsedMs, leftMs: job.remainingMs });
    return choice && dispatch(job, choice);
  };

  const slotQueue = createSlotQueue({
    expectedMs(job) {
      const profile = services.get(job.service)?.engine;
      if (profile === undefined) return 0;
      const passMs = computePassMs(
        profile.slots,
        profile.slots * profile.usualPromptTokens,
        profile,
      );
      return computeReadMs(job.promptTokens, profile) + PASSES_TO_FIRST_BYTE * passMs;
    },
    dispatch: dispatchToSlot,
    refuse: (job) => refuse(job, PLACEMENT_REFUSAL.UNSERVABLE, NO_SERVER_RETRY_AFTER_MS),
  }, clock);

  const isLong = (job: PlacementJob) => {
    const profile = services.get(job.service)?.engine;
    return profile !== undefined && computeReadMs(job.promptTokens, profile) >= LONG_READ_MS;
  };

  const hasModel = (job: PlacementJob) => services.get(job.service)?.engine !== undefined;

  const fitsWhenIdle = (job: PlacementJob, usable: ServerLoad[]) => {
    const memory = (services.get(job.service)?.engine?.memoryTokens ?? 0) * MEMORY_SHARE;
    const engines = Math.min(usable.length, MAX_HELPERS + 1);
    return job.promptTokens + job.answerTokens <= memory * engines;
  };

  /** The job with its first byte due early enough for the whole answer to come in time. */
  const withAnswerTime = (job: PlacementJob): PlacementJob => {
    const profile = services.get(job.service)?.engine;
    if (profile === undefined) return job;
    const passes = SURE_ANSWER_SHARE * job.answerTokens / profile.stepsPerPass;
    const answerMs = passes * computePassMs(1, job.promptTokens, profile);
    return { ...job, remainingMs: Math.min(job.remainingMs, job.wholeWithinMs - answerMs) };
  };

  const place = (asked: PlacementJob): PlacementDecision | Promise<PlacementDecision> => {
    const job = withAnswerTime(asked);
    if (quarantine.isQuarantined(job.fingerprint)) {
      return refuse(job, PLACEMENT_REFUSAL.QUARANTINED, QUARANTINE_MS);
    }
    const usable = listUsable(job);
    if (usable.length === 0) {
      return refuse(job, PLACEMENT_REFUSAL.NO_SERVER, NO_SERVER_RETRY_AFTER_MS);
    }
    const open = usable.filter(isWithinColdLimit);
    if (open.length === 0) return refuse(job, PLACEMENT_REFUSAL.COLD_LIMIT, COLD_RETRY_AFTER_MS);
    if (leastReadMs(job) > job.remainingMs) {
      return refuse(job, PLACEMENT_REFUSAL.UNSERVABLE, NO_SERVER_RETRY_AFTER_MS);
    }
    if (canWait() && hasModel(job) && !isLong(job) && slotQueue.size() < MAX_WAITING) {
      const decision = slotQueue.size() === 0 ? dispatchToSlot(job) : undefined;
      if (decision !== undefined) return decision;
      note(job, "waits");
      const waiting = slotQueue.add(job);
      slotQueue.review();
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

  const judgeServer = (entry: PlacedJob, outcome: JobOutcome, faultyServerId?: string) => {
    const faulty = loads.get(faultyServerId ?? entry.serverId);
    if (outcome === JOB_OUTCOME.ANSWERED) {
      loads.get(entry.serverId)?.trust();
      quarantine.clear(entry.job.fingerprint);
    } else if (
      outcome === JOB_OUTCOME.BROKEN || outcome === JOB_OUTCOME.SILENT ||
      outcome === JOB_OUTCOME.REJECTED
    ) {
      faulty?.suspect();
    }
    if (outcome === JOB_OUTCOME.BROKEN && !entry.isWriting) {
      quarantine.countBroken(entry.job.fingerprint, entry.serverId);
    }
  };

  return {
    setServers(servers) {
      const present = new Set(servers.map((server) => server.id));
      for (const id of [...loads.keys()].filter((known) => !present.has(known))) {
        loads.delete(id);
        ranks.delete(id);
      }
      for (const server of servers) {
        const load = loads.get(server.id);
        if (load?.server.bornMs === server.bornMs) load.server = server;
        else {
          const profile = services.get(server.service)?.engine;
          loads.set(server.id, createServerLoad(server, { clock, profile }));
        }
      }
    },
    setServices(list) {
      services.clear();
      for (const service of list) services.set(service.name, service);
      const servers = [...loads.values()].map((load) => load.server);
      for (const { id, service } of servers) {
        const profile = services.get(service)?.engine;
        const load = loads.get(id);
        if (load !== undefined) load.setProfile(profile);
      }
    },
    place,
    observe: (serverId, report) => loads.get(serverId)?.observe(report),
    review() {
      slotQueue.review();
      line.review();
    },
    adopt(entry) {
      if (running.has(entry.job.id)) return;
      const { job, serverId, helperIds, isWriting, tickets, partMs, ageMs } = entry;
      running.set(job.id, { job, serverId, helperIds, isWriting });
      const reserved = new Map(tickets.map((ticket) => [ticket.serverId, ticket.tokens]));
      const elsewhere = tickets.reduce((sum, ticket) => sum + ticket.tokens, 0);
      for (const id of serversOf(entry)) {
        const isFirst = id === serverId;
        const memoryTokens = isFirst
          ? job.promptTokens + job.answerTokens - elsewhere
          : reserved.get(id) ?? 0;
        loads.get(id)?.add(job, { readMs: partMs, memoryTokens, isFirst, ageMs });
        if (entry.isWriting) loads.get(id)?.markWriting(entry.job.id);
      }
    },
    started(jobId) {
      const entry = running.get(jobId);
      if (entry === undefined) return;
      entry.isWriting = true;
      for (const id of serversOf(entry)) loads.get(id)?.markWriting(jobId);
    },
    finished(jobId, outcome, faultyServerId) {
      if (line.cancel(jobId) || slotQueue.cancel(jobId)) return;
      const entry = running.get(jobId);
      if (entry === undefined) return;
      running.delete(jobId);
      for (const id of serversOf(entry)) loads.get(id)?.remove(jobId);
      judgeServer(entry, outcome, faultyServerId);
      slotQueue.review();
    },
  };
}
