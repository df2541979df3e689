import type { Clock, Millis } from "@jaypass/kernel";
import { dropUnsureSamples, sampleSpeed } from "./_lib/sample_speed.ts";
import type { SampledPrefill } from "./_lib/sample_speed.ts";
import { computePassMs } from "./compute_pass_ms.ts";
import { computeWeight } from "./compute_weight.ts";
import { computePrefillMs } from "./compute_prefill_ms.ts";
import {
  COLD_WINDOW_MS,
  FOREIGN_PREFILL_HEADROOM_MS,
  FOREIGN_SIZE_FACTOR,
  LONG_PREFILL_MIN_MS,
  PAUSE_SLACK_MS,
  REPORT_VALID_MS,
  SUSPECT_BASE_MS,
  SUSPECT_MAX_MS,
  WATCH_RATIO,
} from "./constants.ts";
import { createFailureShare } from "./create_failure_share.ts";
import type { FailureShare } from "./create_failure_share.ts";
import { createServerSpeed } from "./create_server_speed.ts";
import type { ServerSpeed } from "./create_server_speed.ts";
import { createRateWindow } from "./create_rate_window.ts";
import type { EngineProfile, EngineReport, PlacementJob, PlacementServer } from "./types.ts";

/** Time in which the values of an unchanged load change too little to matter. */
const SNAPSHOT_VALID_MS = 5;

/** Share of a prefill that is assumed to remain when it takes longer than expected. */
const OVERDUE_SHARE = 0.1;

/** Load that one job puts on one server. */
interface JobShare extends SampledPrefill {
  job: PlacementJob;
  /** True for the server that received the request, false for a helper. */
  isPrimary: boolean;
  /** True once the first byte of the answer has arrived, so that the prefill is over. */
  isDecoding: boolean;
  /** True once a prefill was placed here that makes the job miss its pause goal. */
  isDelayed: boolean;
  /** Tokens of memory that the job uses on this server. */
  memoryTokens: number;
}

/** Load that a job or a part of it puts on a server. */
export interface LoadPart {
  /** Expected milliseconds of prefill at the usual speed of the server. */
  prefillMs: Millis;
  /** Expected milliseconds to the first byte at usual speed; undefined if not known. */
  expectedMs?: Millis;
  /** True if other servers prefill parts of the prompt; false by default. */
  isSplit?: boolean;
  /** Tokens of memory. */
  memoryTokens: number;
  /** True for the server that gets the request, false for a helper. */
  isPrimary: boolean;
  /** Milliseconds since the request was sent; 0 by default. */
  ageMs?: Millis;
}

/** A request whose prefill has not finished. */
export interface PendingPrefill {
  /** Expected milliseconds before its goal; Infinity if another prefill already made it late. */
  slackMs: Millis;
  /** Expected milliseconds between its first byte and its deadline. */
  deadlineSlackMs: Millis;
  /** Weight of the request, as returned by `computeWeight`. */
  weight: number;
}

/** The values of a load by which engines are compared, at one time. */
export interface LoadSnapshot {
  /** See {@linkcode ServerLoad.requests}. */
  requests: number;
  /** See {@linkcode ServerLoad.shortRequests}. */
  shortRequests: number;
  /** See {@linkcode ServerLoad.decodingRequests}. */
  decodingRequests: number;
  /** See {@linkcode ServerLoad.onTimeWeight}. */
  onTimeWeight: number;
  /** See {@linkcode ServerLoad.pendingPrefills}. */
  pendingPrefills: PendingPrefill[];
  /** See {@linkcode ServerLoad.prefillBacklogMs}. */
  backlogMs: Millis;
  /** See {@linkcode ServerSpeed.factor}. */
  speedFactor: number;
  /** See {@linkcode ServerLoad.passMs}. */
  passMs: Millis;
  /** See {@linkcode ServerLoad.prefillHeadroomMs}. */
  headroomMs: Millis;
  /** See {@linkcode ServerLoad.memoryTokens}. */
  memoryTokens: number;
}

/** Load of one server, known from the requests that were sent to it and from its reports. */
export interface ServerLoad {
  /** Current entry of the server. */
  server: PlacementServer;
  /** Speed of the server relative to others; times of the load are scaled by its factor. */
  speed: ServerSpeed;
  /** Share of requests that the server fails. */
  failures: FailureShare;
  /** Replaces the cost model. */
  setProfile(profile: EngineProfile | undefined): void;
  /** Sets the speed to the pace that the server has stated. */
  setPace(pace: number): void;
  /** Applies the server's own load report, which includes requests that other hosts placed. */
  applyReport(report: EngineReport): void;
  /**
   * Returns the values by which engines are compared. They are computed again after each change of the
   * load, and otherwise at most every few milliseconds, since each decision compares all engines.
   */
  snapshot(): LoadSnapshot;
  /** Adds a job or a part of it. */
  add(job: PlacementJob, part: LoadPart): void;
  /** Counts a sent request towards the limit of cold servers. */
  countSend(): void;
  /** Marks a job as decoding, so that its prefill no longer counts. */
  markDecoding(jobId: string): void;
  /** Samples the server's speed by the requests that have waited for much longer than expected. */
  observeOverdue(): void;
  /** Removes a job. */
  remove(jobId: string): void;
  /** Number of requests and parts on the server. */
  size(): number;
  /** Number of requests that the server answers, without parts of prompts that others answer. */
  requests(): number;
  /** Number of requests with short prompts, including all requests that other hosts placed. */
  shortRequests(): number;
  /** Number of streaming requests that decode or will decode after their prefill. */
  decodingRequests(): number;
  /** Total weight of the streaming requests that no prefill has made late so far. */
  onTimeWeight(): number;
  /** Requests and parts whose prefill has not finished, with the slack of each. */
  pendingPrefills(): PendingPrefill[];
  /** Marks the streaming requests as late, because a prefill makes them miss their pause goals. */
  markDelayed(): void;
  /** Expected milliseconds of prefill that remain. */
  prefillBacklogMs(): Millis;
  /** Expected milliseconds of a pass without prefill. */
  passMs(): Millis;
  /** Longest prefill in milliseconds that makes no streaming request miss its pause goal. */
  prefillHeadroomMs(): Millis;
  /** Tokens of memory in use. */
  memoryTokens(): number;
  /** Milliseconds since the last request was sent to the server. */
  sinceLastSendMs(): Millis;
  /** Number of requests sent within the last second. */
  recentSends(): number;
  /** Avoids the server for a time that grows with each consecutive failure. */
  markSuspect(): void;
  /** Stops avoiding the server and resets its failure count. */
  clearSuspicion(): void;
  /** Reports whether the server is currently avoided. */
  isSuspect(): boolean;
}

/**
 * Creates the load record of one server.
 *
 * @param server entry of the server
 * @param options clock, for engines the cost model, and the usual speed ratio of the service
 * @returns the load of an idle server
 *
 * @example
 * const load = createServerLoad(server, { clock, profile });
 * load.add(job, { prefillMs: 32, memoryTokens: 6_300, isPrimary: true });
 */
export function createServerLoad(
  server: PlacementServer,
  options: {
    clock: Clock;
    profile: EngineProfile | undefined;
    speedBaseline?: () => number | undefined;
  },
): ServerLoad {
  const { clock, speedBaseline = () => undefined } = options;
  const speed = createServerSpeed({ clock, baseline: speedBaseline });
  let lastSendMs = -Infinity;
  let profile = options.profile;
  const shares = new Map<string, JobShare>();
  const sends = createRateWindow({ clock, windowMs: COLD_WINDOW_MS });
  let foreign = { requests: 0, tokens: 0, untilMs: -Infinity };
  let failures = 0;
  let suspectUntilMs = -Infinity;
  let cached: { snapshot: LoadSnapshot; atMs: Millis } | undefined;

  const listShares = () => [...shares.values()];
  const pendingShares = () => listShares().filter((share) => !share.isDecoding);
  const foreignRequestCount = () => clock.nowMs() < foreign.untilMs ? foreign.requests : 0;
  const foreignTokens = () => clock.nowMs() < foreign.untilMs ? foreign.tokens : 0;
  const ownRequestCount = () => listShares().filter((share) => share.isPrimary).length;
  const ownTokens = () => listShares().reduce((sum, share) => sum + share.memoryTokens, 0);
  const streamingShares = () =>
    listShares().filter((share) => share.isPrimary && share.job.pauseGoalMs > 0);

  const prefillBacklogMs = () => {
    const nowMs = clock.nowMs();
    const factor = speed.factor();
    let elapsedMs = 0;
    let backlogMs = 0;
    for (const share of listShares()) {
      if (share.isDecoding) continue;
      // Prefills are assumed to run one after another, so time that was attributed to an earlier
      // prefill does not count again.
      const sinceMs = Math.max(0, nowMs - share.startMs - elapsedMs);
      const prefillMs = share.prefillMs * factor;
      const doneMs = Math.min(sinceMs, prefillMs * (1 - OVERDUE_SHARE));
      elapsedMs += doneMs;
      backlogMs += prefillMs - doneMs;
    }
    return backlogMs + foreignBacklogMs();
  };

  /**
   * Estimates the remaining prefill of other hosts' requests: half of the time for the tokens
   * beyond those of requests of the usual size.
   */
  const foreignBacklogMs = () => {
    if (profile === undefined) return 0;
    const excessTokens = foreignTokens() - FOREIGN_SIZE_FACTOR * foreignRequestCount() *
        (profile.usualPromptTokens + profile.usualAnswerTokens);
    return excessTokens <= 0 ? 0 : computePrefillMs(excessTokens, profile) / 2 * speed.factor();
  };

  const isLong = (job: PlacementJob) =>
    profile !== undefined && computePrefillMs(job.promptTokens, profile) >= LONG_PREFILL_MIN_MS;

  const foreignWeight = () =>
    profile === undefined ? 0 : foreignRequestCount() * computeWeight({
      promptTokens: profile.usualPromptTokens,
      answerTokens: profile.usualAnswerTokens,
    });

  const passMs = () => {
    if (profile === undefined) return 0;
    const streaming = streamingShares();
    const contextTokens = streaming.reduce((sum, share) => sum + share.job.promptTokens, 0);
    return computePassMs(streaming.length, contextTokens, profile) * speed.factor();
  };

  // A request that is already late does not limit further prefills.
  const minPauseGoalMs = () =>
    streamingShares().filter((share) => !share.isDelayed)
      .reduce((least, share) => Math.min(least, share.job.pauseGoalMs), Infinity);

  const load: ServerLoad = {
    server,
    speed,
    failures: createFailureShare(clock),
    setProfile(next) {
      cached = undefined;
      profile = next;
    },
    snapshot() {
      const nowMs = clock.nowMs();
      if (cached !== undefined && nowMs - cached.atMs < SNAPSHOT_VALID_MS) return cached.snapshot;
      const snapshot: LoadSnapshot = {
        requests: load.requests(),
        shortRequests: load.shortRequests(),
        decodingRequests: load.decodingRequests(),
        onTimeWeight: load.onTimeWeight(),
        pendingPrefills: load.pendingPrefills(),
        backlogMs: load.prefillBacklogMs(),
        speedFactor: speed.factor(),
        passMs: load.passMs(),
        headroomMs: load.prefillHeadroomMs(),
        memoryTokens: load.memoryTokens(),
      };
      cached = { snapshot, atMs: nowMs };
      return snapshot;
    },
    setPace(pace) {
      cached = undefined;
      speed.setPace(pace);
    },
    applyReport({ running, queued, usedTokens }) {
      cached = undefined;
      foreign = {
        requests: Math.max(0, running + queued - ownRequestCount()),
        tokens: Math.max(0, usedTokens - ownTokens()),
        untilMs: clock.nowMs() + REPORT_VALID_MS,
      };
    },
    add(job, { ageMs = 0, ...part }) {
      cached = undefined;
      shares.set(job.id, {
        job,
        ...part,
        isDecoding: false,
        isDelayed: false,
        startMs: clock.nowMs() - ageMs,
      });
      dropUnsureSamples(pendingShares());
    },
    countSend() {
      lastSendMs = clock.nowMs();
      sends.add();
    },
    sinceLastSendMs: () => clock.nowMs() - lastSendMs,
    markDecoding(jobId) {
      cached = undefined;
      const share = shares.get(jobId);
      if (share === undefined) return;
      if (!share.isDecoding) sampleSpeed(share, speed, { nowMs: clock.nowMs() });
      share.isDecoding = true;
    },
    observeOverdue() {
      const pending = pendingShares();
      if (pending.length === 0) return;
      const factor = speed.factor();
      const minRatio = WATCH_RATIO * (speedBaseline() ?? Infinity);
      for (const share of pending) sampleSpeed(share, speed, { nowMs: clock.nowMs(), minRatio });
      if (speed.factor() !== factor) cached = undefined;
    },
    remove(jobId) {
      cached = undefined;
      shares.delete(jobId);
    },
    size: () => shares.size,
    requests: () => ownRequestCount() + foreignRequestCount(),
    shortRequests: () =>
      listShares().filter((share) => share.isPrimary && !isLong(share.job)).length +
      foreignRequestCount(),
    decodingRequests: () => streamingShares().length + foreignRequestCount(),
    onTimeWeight: () =>
      streamingShares().filter((share) => !share.isDelayed)
        .reduce((sum, share) => sum + computeWeight(share.job), 0) + foreignWeight(),
    pendingPrefills() {
      const nowMs = clock.nowMs();
      const ownPassMs = passMs();
      const factor = speed.factor();
      return pendingShares().map(
        ({ job, prefillMs, startMs, isDelayed }) => {
          const doneMs = Math.max(prefillMs * factor, nowMs - startMs) + ownPassMs;
          return {
            slackMs: isDelayed ? Infinity : job.goalMs - job.elapsedMs - doneMs,
            deadlineSlackMs: job.remainingMs - doneMs,
            weight: computeWeight(job),
          };
        },
      );
    },
    markDelayed() {
      cached = undefined;
      for (const share of streamingShares()) share.isDelayed = true;
    },
    prefillBacklogMs,
    passMs,
    prefillHeadroomMs() {
      const headroomMs = Math.max(
        0,
        minPauseGoalMs() - passMs() - PAUSE_SLACK_MS - prefillBacklogMs(),
      );
      return foreignRequestCount() > 0
        ? Math.min(headroomMs, FOREIGN_PREFILL_HEADROOM_MS)
        : headroomMs;
    },
    memoryTokens: () => ownTokens() + foreignTokens(),
    recentSends: () => sends.count(),
    markSuspect() {
      const avoidMs = Math.min(SUSPECT_MAX_MS, SUSPECT_BASE_MS * 2 ** failures);
      failures += 1;
      suspectUntilMs = clock.nowMs() + avoidMs;
    },
    clearSuspicion() {
      failures = 0;
      suspectUntilMs = -Infinity;
    },
    isSuspect: () => clock.nowMs() < suspectUntilMs,
  };
  return load;
}
