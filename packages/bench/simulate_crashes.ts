import { createPlacer, HARMLESS_AFTER_MS, JOB_OUTCOME } from "@jaypass/placement";
import type { PlacementServer, Placer } from "@jaypass/placement";
import type { Millis } from "@jaypass/kernel";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEventQueue } from "./_lib/engine_model.ts";

/** Requests and crashes of a simulation. */
export interface CrashLoad {
  /** Number of servers. */
  servers: number;
  /** Sound requests per second; half of them have a part that crashing ones have too. */
  soundPerSecond: number;
  /** Requests per second with each crashing part. */
  crashingPerSecond: number;
  /** Number of parts that crash servers. */
  crashingParts: number;
  /** Time from the first byte of a crashing request to the end of its server; 50 ms by default. */
  crashDelayMs?: number;
  /** Time from the arrival to the end of a sound answer; 700 ms by default. */
  answerMs?: number;
  /**
   * True if the second attempt of a request continues the answer of the first one, and a crashing request
   * ends its server also after its answer; false by default.
   */
  isResumable?: boolean;
  /** Mean crashes per second of each server for other reasons. */
  otherCrashesPerSecond: number;
  /** Share of the servers that end at once in the middle of the simulation. */
  lostShare: number;
  /** Length of the simulation in seconds. */
  seconds: number;
  /** Seed of arrivals and crashes. */
  seed: number;
}

/** Rules by which requests are kept from servers. */
export const CRASH_RULE = {
  /** Evidence on the parts of prompts. */
  PARTS: "parts",
  /** The same evidence on whole requests only. */
  WHOLE_REQUESTS: "whole_requests",
  /** No request that has a part in common with one that a server ended under. */
  FIRST_CRASH: "first_crash",
} as const;

/** One of {@linkcode CRASH_RULE}. */
export type CrashRule = typeof CRASH_RULE[keyof typeof CRASH_RULE];

/** Results of a simulation. */
export interface CrashResult {
  /** Servers that ended under a crashing request. */
  crashes: number;
  /** Crashing requests sent more than three seconds after the fifth of these ends. */
  late: number;
  /** Those of them that had crashed a server before, as the same request. */
  lateRetries: number;
  sound: number;
  /** Sound requests that were refused as quarantined. */
  soundRefused: number;
  /** Sound requests that were answered, at the first or the second server. */
  soundAnswered: number;
}

const FIRST_BYTE_MS = 150;

const ANSWER_MS = 700;

const CRASH_DELAY_MS = 50;

const RESTART_MS = 2_500;

const REVIEW_INTERVAL_MS = 50;

const COUNTED_CRASHES = 5;

const LATE_AFTER_MS = 3_000;

const SESSION_COUNT = 20;

const MAX_ATTEMPTS = 2;

/** A request in the simulation. */
interface SimulatedRequest {
  id: string;
  parts: string[];
  isCrashing: boolean;
  attempts: number;
  /** Time for which the answer was written in earlier attempts. */
  writtenMs: Millis;
}

interface SimulatedServer extends PlacementServer {
  isUp: boolean;
  running: Map<string, SimulatedRequest>;
  /** Called for each running request when the server ends. */
  onEnd: Map<string, () => void>;
}

/**
 * Simulates servers that end under some requests and for other reasons.
 *
 * Sound requests share a part with crashing ones, and another one with their session. Crashing
 * requests are unlike one another but for their part. Answers take fixed times, as the order of events
 * matters here and not the load.
 *
 * @param load requests and crashes
 * @param rule by which requests are kept from servers
 * @returns counts of crashes and requests
 *
 * @example
 * simulateCrashes(load, CRASH_RULE.PARTS).crashes;
 */
export async function simulateCrashes(load: CrashLoad, rule: CrashRule): Promise<CrashResult> {
  const queue = createEventQueue();
  const random = createRandom(load.seed);
  const endMs = load.seconds * 1_000;
  const { crashDelayMs = CRASH_DELAY_MS, answerMs = ANSWER_MS, isResumable = false } = load;
  const servers: SimulatedServer[] = Array.from({ length: load.servers }, (_, index) => ({
    id: `s${index}`,
    service: "model",
    address: `10.0.${index >> 8}.${index & 0xff}:80`,
    dataCentre: "a",
    slots: 8,
    bornMs: 0,
    coldUntilMs: 0,
    isUp: true,
    running: new Map(),
    onEnd: new Map(),
  }));
  const placer = createSimulatedPlacer(queue.nowMs);
  const announce = () =>
    placer.setServers(servers.filter(({ isUp }) => isUp).map(toPlacementServer));
  announce();

  const result = {
    crashes: 0,
    late: 0,
    lateRetries: 0,
    sound: 0,
    soundRefused: 0,
    soundAnswered: 0,
  };
  const crashedKeys = new Set<string>();
  let fifthMs = Infinity;

  const end = (server: SimulatedServer) => {
    if (!server.isUp) return;
    server.isUp = false;
    const ended = [...server.running.values()];
    server.running.clear();
    for (const req of ended) {
      server.onEnd.get(req.id)?.();
      placer.finished(`${req.id}.${req.attempts}`, JOB_OUTCOME.BROKEN);
      if (rule === CRASH_RULE.FIRST_CRASH) { for (const part of req.parts) crashedKeys.add(part); }
    }
    server.onEnd.clear();
    announce();
    queue.at(queue.nowMs() + RESTART_MS, () => {
      server.isUp = true;
      server.bornMs += 1;
      announce();
    });
    for (const req of ended) void send(req);
  };

  const run = (req: SimulatedRequest, server: SimulatedServer) => {
    const { attempts, id } = req;
    const { bornMs } = server;
    const startMs = queue.nowMs();
    const isRunning = () => server.bornMs === bornMs && server.running.get(id) === req;
    server.running.set(id, req);
    if (req.isCrashing && startMs > fifthMs + LATE_AFTER_MS) {
      result.late += 1;
      if (attempts > 1) result.lateRetries += 1;
    }
    const firstByteMs = startMs + FIRST_BYTE_MS;
    queue.at(firstByteMs, () => {
      if (isRunning()) placer.started(`${id}.${attempts}`);
    });
    if (req.isCrashing) {
      queue.at(firstByteMs + crashDelayMs, () => {
        const isUp = server.isUp && server.bornMs === bornMs;
        if (isResumable ? !isUp : !isRunning()) return;
        result.crashes += 1;
        if (result.crashes === COUNTED_CRASHES) fifthMs = queue.nowMs();
        end(server);
      });
      if (!isResumable) return;
    }
    const leftMs = answerMs - FIRST_BYTE_MS - req.writtenMs;
    if (isResumable) {
      server.onEnd.set(id, () => void (req.writtenMs += Math.max(0, queue.nowMs() - firstByteMs)));
    }
    queue.at(firstByteMs + leftMs, () => {
      if (!isRunning()) return;
      server.running.delete(id);
      placer.finished(`${id}.${attempts}`, JOB_OUTCOME.ANSWERED);
      if (!req.isCrashing) result.soundAnswered += 1;
    });
  };

  const send = async (req: SimulatedRequest) => {
    if (req.attempts >= MAX_ATTEMPTS) return;
    req.attempts += 1;
    if (req.parts.some((part) => crashedKeys.has(part))) {
      if (!req.isCrashing) result.soundRefused += 1;
      return;
    }
    const decision = await placer.place(describeJob(req, rule));
    if (decision.kind === "placed") {
      const server = servers.find(({ id }) => id === decision.serverId);
      if (server?.isUp) run(req, server);
      else placer.finished(`${req.id}.${req.attempts}`, JOB_OUTCOME.SILENT);
    } else if (decision.reason === "quarantined" && !req.isCrashing) result.soundRefused += 1;
  };

  let count = 0;
  const arrive = (
    perSecond: number,
    create: () => Pick<SimulatedRequest, "parts" | "isCrashing">,
  ) => {
    if (perSecond === 0) return;
    const next = () => {
      const waitMs = -Math.log(1 - random()) * 1_000 / perSecond;
      queue.at(queue.nowMs() + waitMs, () => {
        if (queue.nowMs() > endMs) return;
        const req = { id: `r${count++}`, attempts: 0, writtenMs: 0, ...create() };
        if (!req.isCrashing) result.sound += 1;
        void send(req);
        next();
      });
    };
    next();
  };
  arrive(load.soundPerSecond, () => {
    const session = Math.floor(random() * SESSION_COUNT);
    return { parts: [`kin${session % 2}`, `session${session}`], isCrashing: false };
  });
  for (let index = 0; index < load.crashingParts; index++) {
    arrive(load.crashingPerSecond, () => ({
      parts: ["kin0", `crashing${index}`],
      isCrashing: true,
    }));
  }
  for (const server of servers) {
    const crashLater = () => {
      if (load.otherCrashesPerSecond === 0) return;
      const waitMs = -Math.log(1 - random()) * 1_000 / load.otherCrashesPerSecond;
      queue.at(queue.nowMs() + waitMs, () => {
        if (queue.nowMs() > endMs) return;
        end(server);
        crashLater();
      });
    };
    crashLater();
  }
  queue.at(endMs / 2, () => {
    for (const server of servers.slice(0, Math.round(load.lostShare * servers.length))) end(server);
  });

  for (let nowMs = 0; nowMs < endMs + HARMLESS_AFTER_MS; nowMs += REVIEW_INTERVAL_MS) {
    queue.at(nowMs, () => placer.dispatchReady());
  }
  while (queue.runNext()) await Promise.resolve();
  return result;
}

function createSimulatedPlacer(nowMs: () => number): Placer {
  const placer = createPlacer({
    clock: { nowMs, wallMs: nowMs },
    retryLimits: { ratio: 1, slack: 1_000, windowMs: 10_000 },
    coldLimits: { multiplier: 1, slack: 1 },
    share: () => 1,
    canQueue: () => true,
    isUncoordinated: () => false,
    seed: "",
  });
  placer.setServices([{ name: "model", coldRequestsPerS: 0, engine: PROFILE }]);
  return placer;
}

const PROFILE = {
  slots: 8,
  memoryTokens: 400_000,
  stepMs: 1.3,
  perWriterMs: 0.001,
  contextMsPerThousand: 0.002,
  readTokensPerMs: 150,
  pairMsPerMillion: 0.16,
  stepsPerPass: 34,
  chunkTokens: 2_048,
  usualPromptTokens: 5_000,
  usualAnswerTokens: 500,
};

function describeJob({ id, parts, attempts, writtenMs }: SimulatedRequest, rule: CrashRule) {
  return {
    id: `${id}.${attempts}`,
    service: "model",
    promptTokens: 5_000,
    answerTokens: 500,
    goalMs: 1_000,
    pauseGoalMs: 250,
    remainingMs: 4_000,
    wholeWithinMs: 10_000,
    elapsedMs: 0,
    excludedIds: [],
    isRetry: attempts > 1,
    isContinuation: writtenMs > 0,
    fingerprint: id,
    parts: rule === CRASH_RULE.PARTS ? [...parts, `own-${id}`] : [],
    isRepeatable: true,
  };
}

function toPlacementServer(
  { isUp: _isUp, running: _running, onEnd: _onEnd, ...server }: SimulatedServer,
) {
  return server;
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
