import type { Clock, Millis } from "@jaypass/kernel";
import { computePassMs } from "./compute_pass_ms.ts";
import { computeWeight } from "./compute_weight.ts";
import { computePrefillMs } from "./compute_prefill_ms.ts";
import {
  FOREIGN_PREFILL_HEADROOM_MS,
  FOREIGN_SIZE_FACTOR,
  LONG_PREFILL_MIN_MS,
  PAUSE_SLACK_MS,
  REPORT_VALID_MS,
  SUSPECT_BASE_MS,
  SUSPECT_MAX_MS,
} from "./constants.ts";
import { createRateWindow } from "./create_rate_window.ts";
import type { EngineProfile, EngineReport, PlacementJob, PlacementServer } from "./types.ts";

/** Window of the cold limit, from the engine protocol. */
const COLD_WINDOW_MS = 1_000;

/** Part of a read that is taken to be left when it lasts longer than planned. */
const OVERDUE_SHARE = 0.1;

/** What one job does on one server. */
interface Share {
  job: PlacementJob;
  /** Expected milliseconds of reading here. */
  prefillMs: Millis;
  /** True for the server that got the request, false for a helper. */
  isPrimary: boolean;
  /** True once the first byte of the answer came. */
  isWriting: boolean;
  /** True once a read was placed here that delays it beyond its pause goal. */
  isDelayed: boolean;
  /** Memory that it takes here. */
  memoryTokens: number;
  startMs: Millis;
}

/** What a job or a part of it takes of a server. */
export interface LoadPart {
  /** Expected milliseconds of reading. */
  prefillMs: Millis;
  /** Tokens of memory. */
  memoryTokens: number;
  /** True for the server that gets the request, false for a helper. */
  isPrimary: boolean;
  /** Milliseconds since it was sent; 0 by default. */
  ageMs?: Millis;
}

/** A request that is not read yet. */
export interface PendingPrefill {
  /** Milliseconds by which it is expected to be in time; Infinity when that is lost already. */
  slackMs: Millis;
  /** Milliseconds by which its first byte is expected before its deadline. */
  deadlineSlackMs: Millis;
  /** Its weight against others. */
  weight: number;
}

/** The load of one server, as known from what was sent to it. */
export interface ServerLoad {
  /** The server's present entry. */
  server: PlacementServer;
  /** Replaces the cost figures. */
  setProfile(profile: EngineProfile | undefined): void;
  /** Takes the server's own report, which shows requests that were placed elsewhere. */
  applyReport(report: EngineReport): void;
  /** Counts a job or a part of it. */
  add(job: PlacementJob, part: LoadPart): void;
  /** Counts a request that was sent, for the cold limit. */
  countSend(): void;
  /** Marks a job as writing; its read is over. */
  markDecoding(jobId: string): void;
  /** Removes a job. */
  remove(jobId: string): void;
  /** Requests and parts here. */
  size(): number;
  /** Requests that run here, without parts of others. */
  requests(): number;
  /** Requests whose prompt is short, and those that were placed elsewhere. */
  shortRequests(): number;
  /** Requests that write with a pause goal, or will write after their read. */
  decodingRequests(): number;
  /** Weight of the requests here that are in time so far and have a pause goal. */
  onTimeWeight(): number;
  /** Requests here that are not read yet, with the time that each of them has to spare. */
  pendingPrefills(): PendingPrefill[];
  /** Marks the requests here as late, since a read delays them beyond their goals. */
  markDelayed(): void;
  /** Expected milliseconds of reading still to be done. */
  prefillBacklogMs(): Millis;
  /** Expected milliseconds of a pass without reads. */
  passMs(): Millis;
  /** Longest read in milliseconds that delays no writer beyond its goal. */
  prefillHeadroomMs(): Millis;
  /** Tokens of memory taken. */
  memoryTokens(): number;
  /** Sends within the last second. */
  recentSends(): number;
  /** Avoids the server for a while that grows with each failure in a row. */
  markSuspect(): void;
  /** Ends the suspicion. */
  clearSuspicion(): void;
  /** Reports whether the server is avoided now. */
  isSuspect(): boolean;
}

/**
 * Creates the account of one server's load.
 *
 * @param server entry of the server
 * @param options clock and, for engines, the cost figures
 * @returns the account, empty
 *
 * @example
 * const load = createServerLoad(server, { clock, profile });
 * load.add(job, { readMs: 32, memoryTokens: 6_300, isFirst: true });
 */
export function createServerLoad(
  server: PlacementServer,
  options: { clock: Clock; profile: EngineProfile | undefined },
): ServerLoad {
  const { clock } = options;
  let profile = options.profile;
  const shares = new Map<string, Share>();
  const sends = createRateWindow({ clock, windowMs: COLD_WINDOW_MS });
  let foreign = { requests: 0, tokens: 0, untilMs: -Infinity };
  let failures = 0;
  let suspectUntilMs = -Infinity;

  const all = () => [...shares.values()];
  const foreignRequests = () => clock.nowMs() < foreign.untilMs ? foreign.requests : 0;
  const foreignTokens = () => clock.nowMs() < foreign.untilMs ? foreign.tokens : 0;
  const ownRequests = () => all().filter((share) => share.isPrimary).length;
  const ownTokens = () => all().reduce((sum, share) => sum + share.memoryTokens, 0);
  const streams = () => all().filter((share) => share.isPrimary && share.job.pauseGoalMs > 0);

  const readBacklogMs = () => {
    const now = clock.nowMs();
    let elapsedMs = 0;
    let backlogMs = 0;
    for (const share of all()) {
      if (share.isWriting) continue;
      // Reads are taken to run one after another: time since the oldest start counts once.
      const sinceMs = Math.max(0, now - share.startMs - elapsedMs);
      const doneMs = Math.min(sinceMs, share.prefillMs * (1 - OVERDUE_SHARE));
      elapsedMs += doneMs;
      backlogMs += share.prefillMs - doneMs;
    }
    return backlogMs + foreignBacklogMs();
  };

  /** Half of the read of tokens beyond what requests of the usual size would hold. */
  const foreignBacklogMs = () => {
    if (profile === undefined) return 0;
    const excess = foreignTokens() - FOREIGN_SIZE_FACTOR * foreignRequests() *
        (profile.usualPromptTokens + profile.usualAnswerTokens);
    return excess <= 0 ? 0 : computePrefillMs(excess, profile) / 2;
  };

  const isLong = (job: PlacementJob) =>
    profile !== undefined && computePrefillMs(job.promptTokens, profile) >= LONG_PREFILL_MIN_MS;

  const foreignWeight = () =>
    profile === undefined ? 0 : foreignRequests() * computeWeight({
      promptTokens: profile.usualPromptTokens,
      answerTokens: profile.usualAnswerTokens,
    });

  const passMs = () => {
    if (profile === undefined) return 0;
    const writing = streams();
    const contextTokens = writing.reduce((sum, share) => sum + share.job.promptTokens, 0);
    return computePassMs(writing.length, contextTokens, profile);
  };

  // A request that is late already cannot be delayed out of time once more.
  const strictestPauseMs = () =>
    streams().filter((share) => !share.isDelayed)
      .reduce((least, share) => Math.min(least, share.job.pauseGoalMs), Infinity);

  const load: ServerLoad = {
    server,
    setProfile: (next) => {
      profile = next;
    },
    applyReport({ running, queued, usedTokens }) {
      foreign = {
        requests: Math.max(0, running + queued - ownRequests()),
        tokens: Math.max(0, usedTokens - ownTokens()),
        untilMs: clock.nowMs() + REPORT_VALID_MS,
      };
    },
    add(job, { ageMs = 0, ...part }) {
      shares.set(job.id, {
        job,
        ...part,
        isWriting: false,
        isDelayed: false,
        startMs: clock.nowMs() - ageMs,
      });
    },
    countSend: () => sends.add(),
    markDecoding(jobId) {
      const share = shares.get(jobId);
      if (share !== undefined) share.isWriting = true;
    },
    remove: (jobId) => void shares.delete(jobId),
    size: () => shares.size,
    requests: () => ownRequests() + foreignRequests(),
    shortRequests: () =>
      all().filter((share) => share.isPrimary && !isLong(share.job)).length + foreignRequests(),
    decodingRequests: () => streams().length + foreignRequests(),
    onTimeWeight: () =>
      streams().filter((share) => !share.isDelayed)
        .reduce((sum, share) => sum + computeWeight(share.job), 0) + foreignWeight(),
    pendingPrefills() {
      const now = clock.nowMs();
      const ownPassMs = passMs();
      return all().filter((share) => !share.isWriting).map(
        ({ job, prefillMs: readMs, startMs, isDelayed }) => {
          const doneMs = Math.max(readMs, now - startMs) + ownPassMs;
          return {
            slackMs: isDelayed ? Infinity : job.goalMs - job.elapsedMs - doneMs,
            deadlineSlackMs: job.remainingMs - doneMs,
            weight: computeWeight(job),
          };
        },
      );
    },
    markDelayed() {
      for (const share of streams()) share.isDelayed = true;
    },
    prefillBacklogMs: readBacklogMs,
    passMs,
    prefillHeadroomMs() {
      const roomMs = Math.max(0, strictestPauseMs() - passMs() - PAUSE_SLACK_MS - readBacklogMs());
      return foreignRequests() > 0 ? Math.min(roomMs, FOREIGN_PREFILL_HEADROOM_MS) : roomMs;
    },
    memoryTokens: () => ownTokens() + foreignTokens(),
    recentSends: () => sends.count(),
    markSuspect() {
      const lengthMs = Math.min(SUSPECT_MAX_MS, SUSPECT_BASE_MS * 2 ** failures);
      failures += 1;
      suspectUntilMs = clock.nowMs() + lengthMs;
    },
    clearSuspicion() {
      failures = 0;
      suspectUntilMs = -Infinity;
    },
    isSuspect: () => clock.nowMs() < suspectUntilMs,
  };
  return load;
}
