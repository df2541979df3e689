import { createPlacer, JOB_OUTCOME } from "@jaypass/placement";
import type { EngineProfile, PlacementJob, Placer } from "@jaypass/placement";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEventQueue } from "./_lib/engine_model.ts";
import { createPassEngine } from "./_lib/pass_engine.ts";
import type { PassEngine, PassRequest } from "./_lib/pass_engine.ts";

/** A kind of prompt in the simulated load. */
export interface PromptKind {
  /** Name of the kind. */
  name: string;
  /** Mean prompt length in tokens. */
  promptTokens: number;
  /** Mean requests per second, over all engines. */
  perSecond: number;
  /** Number of events of an answer. */
  events: number;
  /** Longest time to the first event, in milliseconds, that earns full credit. */
  goalMs: number;
  /** Longest pause between events, in milliseconds, that earns full credit. */
  pauseGoalMs: number;
  /** Milliseconds without an event after which the caller abandons the request. */
  abandonAfterMs: number;
  /** Priority at the engines; lower values are admitted first. */
  urgency: number;
  /** Credit of a late answer as a share of the credit of an answer in time. */
  lateCreditShare: number;
}

/** Period of the load with its own request rates. */
export interface LoadPhase {
  /** Length of the phase in milliseconds. */
  lengthMs: number;
  /** Factors by which the rates of kinds are multiplied, by name of the kind; 1 by default. */
  factors: Record<string, number>;
}

/** Load and engines of a simulation. */
export interface PlacementLoad {
  /** Number of engines of the service. */
  engines: number;
  /** Cost parameters of each engine. */
  profile: EngineProfile;
  /** Kinds of prompts. */
  kinds: readonly PromptKind[];
  /** Phases in the order in which they run. */
  phases: readonly LoadPhase[];
  /** Seed of arrival times and prompt lengths. */
  seed: number;
  /** Engines that are slower for a time; none by default. */
  slow?: SlowPeriod;
}

/** Time in which some engines are slower. */
export interface SlowPeriod {
  /** Part of the engines. */
  share: number;
  /** Factor by which they are slower. */
  factor: number;
  /** Start of the period in milliseconds. */
  fromMs: number;
  /** End of the period in milliseconds. */
  untilMs: number;
  /** True if engines state their pace when they are asked. */
  statesPace: boolean;
}

/** Engines that a policy chooses for a request, by index. */
export interface PolicyChoice {
  primary: number;
  /** Engines that prefill parts of the prompt. */
  helpers: readonly number[];
}

/** Policy that places requests on engines. */
export interface PlacementPolicy {
  /** Chooses engines for a request. Resolves with `undefined` to refuse it. */
  place(job: PlacementJob): Promise<PolicyChoice | undefined>;
  /** Called at the first event of an answer. */
  started(jobId: string): void;
  /** Called when a request has ended. */
  finished(jobId: string): void;
  /** Places requests that wait in a queue. Called every 50 ms. */
  dispatchWaiting(): void;
}

/** Results of the requests of a kind. */
export interface KindResult {
  requests: number;
  /** Answers whose first event and pauses met the goals. */
  inTime: number;
  late: number;
  /** Requests that were refused, or abandoned by their callers. */
  unserved: number;
  /** Credit earned as a share of the possible credit, in which long prompts have a greater weight. */
  credit: number;
  /** Times to the first event in milliseconds, sorted, of the requests that had one. */
  firstEventMs: number[];
}

/** Least time between two requests for the pace of an engine. */
const PACE_INTERVAL_MS = 1_000;

/** Interval between two calls of `PlacementPolicy.dispatchWaiting`. */
const REVIEW_INTERVAL_MS = 50;

/** Standard deviation of the logarithm of prompt lengths. */
const LENGTH_SIGMA = 0.6;

/** Longest prompt as a multiple of the mean length. */
const MAX_LENGTH_FACTOR = 5;

/** Share of a request's weight that does not depend on its prompt length. */
const FIXED_WEIGHT = 0.3;

/**
 * Simulates a load of prompts of different lengths under a placement policy on model engines.
 *
 * @param load engines, kinds and seed
 * @param createPolicy creates the policy; it receives a function that returns the simulated time
 * @returns results by name of the kind
 *
 * @example
 * const results = await playPlacement(load, (clock) => createPlacerPolicy(load, clock));
 */
export async function simulatePlacement(
  load: PlacementLoad,
  createPolicy: (nowMs: () => number) => PlacementPolicy,
): Promise<Map<string, KindResult>> {
  const queue = createEventQueue();
  const engines = Array.from(
    { length: load.engines },
    (_, index) =>
      createPassEngine(queue, load.profile, () => findSlowness(load, index, queue.nowMs())),
  );
  const policy = createPolicy(queue.nowMs);
  const tokensPerEvent = load.profile.stepsPerPass;
  const generator = xoroshiro128plus(load.seed);
  const random = () => uniformFloat64(generator);
  const results = new Map(load.kinds.map((kind) => [kind.name, createKindResult()]));
  let possibleCredit = new Map<string, number>();
  let openRequests = 0;

  const send = (kind: PromptKind) => {
    const promptTokens = drawLength(kind.promptTokens, random);
    const result = results.get(kind.name)!;
    const weight = FIXED_WEIGHT +
      (1 - FIXED_WEIGHT) * Math.min(4, promptTokens / kind.promptTokens);
    result.requests += 1;
    possibleCredit = possibleCredit.set(kind.name, (possibleCredit.get(kind.name) ?? 0) + weight);
    openRequests += 1;
    runRequest({ kind, promptTokens, engines, policy, queue, tokensPerEvent }, (end) => {
      openRequests -= 1;
      if (end.firstMs !== undefined) result.firstEventMs.push(end.firstMs);
      if (end.kind === "unserved") result.unserved += 1;
      else if (end.kind === "late") result.late += 1;
      else result.inTime += 1;
      if (end.kind !== "unserved") {
        result.credit += weight * (end.kind === "late" ? kind.lateCreditShare : 1);
      }
    });
  };

  let startMs = 0;
  for (const { lengthMs, factors } of load.phases) {
    for (const kind of load.kinds) {
      const gapMs = 1_000 / (kind.perSecond * (factors[kind.name] ?? 1));
      for (let atMs = startMs; (atMs += -Math.log(1 - random()) * gapMs) < startMs + lengthMs;) {
        queue.at(atMs, () => send(kind));
      }
    }
    startMs += lengthMs;
  }
  const dispatchPeriodically = () => {
    policy.dispatchWaiting();
    if (queue.nowMs() < startMs || openRequests > 0) {
      queue.at(queue.nowMs() + REVIEW_INTERVAL_MS, dispatchPeriodically);
    }
  };
  queue.at(0, dispatchPeriodically);
  while (queue.runNext()) {
    // Policies return promises. Their continuations must run before the next event.
    for (let tick = 0; tick < 4; tick++) await Promise.resolve();
  }
  for (const [name, result] of results) {
    result.credit /= possibleCredit.get(name) ?? 1;
    result.firstEventMs.sort((a, b) => a - b);
  }
  return results;
}

function findSlowness({ slow }: PlacementLoad, index: number, nowMs: number): number {
  if (slow === undefined || nowMs < slow.fromMs || nowMs >= slow.untilMs) return 1;
  // Every nth engine, since placement fills engines in an order.
  const isSlow = Math.floor((index + 1) * slow.share) > Math.floor(index * slow.share);
  return isSlow ? slow.factor : 1;
}

function createKindResult(): KindResult {
  return { requests: 0, inTime: 0, late: 0, unserved: 0, credit: 0, firstEventMs: [] };
}

/** Draws a length from a log-normal distribution with the given mean, truncated at `MAX_LENGTH_FACTOR` times the mean. */
function drawLength(mean: number, random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const size = mean * Math.exp(LENGTH_SIGMA * normal - LENGTH_SIGMA ** 2 / 2);
  return Math.round(Math.min(size, MAX_LENGTH_FACTOR * mean));
}

interface RequestContext {
  kind: PromptKind;
  promptTokens: number;
  engines: readonly PassEngine[];
  policy: PlacementPolicy;
  /** Tokens of the answer per event. */
  tokensPerEvent: number;
  queue: { nowMs(): number; at(timeMs: number, action: () => void): void };
}

interface RequestEnd {
  kind: "in time" | "late" | "unserved";
  firstMs?: number;
}

let nextJob = 1;

function runRequest(context: RequestContext, onEnd: (end: RequestEnd) => void): void {
  const { kind, promptTokens, engines, policy, queue, tokensPerEvent } = context;
  const id = `job-${nextJob++}`;
  const sentMs = queue.nowMs();
  let firstMs: number | undefined;
  let lastMs = sentMs;
  let isLate = false;
  let hasEnded = false;

  const end = (result: RequestEnd["kind"]) => {
    if (hasEnded) return;
    hasEnded = true;
    for (const engine of engines) engine.cancel(request);
    policy.finished(id);
    onEnd({ kind: result, firstMs });
  };
  const request: PassRequest = {
    promptTokens,
    events: kind.events,
    urgency: kind.urgency,
    onEvent() {
      const pauseMs = queue.nowMs() - lastMs;
      lastMs = queue.nowMs();
      if (firstMs === undefined) {
        firstMs = pauseMs;
        if (pauseMs > kind.goalMs) isLate = true;
        policy.started(id);
      } else if (pauseMs > kind.pauseGoalMs) isLate = true;
    },
    onEnd: () => end(isLate ? "late" : "in time"),
  };
  const checkAbandoned = () => {
    if (hasEnded) return;
    if (queue.nowMs() >= lastMs + kind.abandonAfterMs) return end("unserved");
    queue.at(lastMs + kind.abandonAfterMs, checkAbandoned);
  };
  queue.at(sentMs + kind.abandonAfterMs, checkAbandoned);
  void policy.place({
    id,
    service: "model",
    promptTokens,
    answerTokens: kind.events * tokensPerEvent,
    goalMs: kind.goalMs,
    pauseGoalMs: kind.pauseGoalMs,
    remainingMs: kind.abandonAfterMs,
    wholeWithinMs: Infinity,
    elapsedMs: 0,
    excludedIds: [],
    isRetry: false,
    fingerprint: id,
    parts: [],
    isContinuation: false,
    isRepeatable: true,
  }).then((choice) => {
    if (hasEnded) return;
    if (choice === undefined) return end("unserved");
    engines[choice.primary]!.submit(request, choice.helpers.map((index) => engines[index]!));
  });
}

/**
 * Creates the policy that uses the placer of jaypass, with a single placer for all requests.
 *
 * @param load number of engines and their cost parameters
 * @param nowMs returns the simulated time
 * @returns the policy
 *
 * @example
 * const policy = createPlacerPolicy(load, queue.nowMs);
 */
export function createPlacerPolicy(load: PlacementLoad, nowMs: () => number): PlacementPolicy {
  const placer: Placer = createPlacer({
    clock: { nowMs, wallMs: nowMs },
    retryLimits: { ratio: 0.2, slack: 100, windowMs: 10_000 },
    coldLimits: { multiplier: 1, slack: 1 },
    share: () => 1,
    canQueue: () => true,
    isUncoordinated: () => false,
    seed: "",
  });
  placer.setServices([{ name: "model", coldRequestsPerS: 0, engine: load.profile }]);
  placer.setServers(Array.from({ length: load.engines }, (_, index) => ({
    id: String(index),
    service: "model",
    address: `10.0.0.${index}:80`,
    dataCentre: "a",
    slots: load.profile.slots,
    bornMs: 0,
    coldUntilMs: 0,
  })));
  const askedMs = new Map<string, number>();
  const askPaces = () => {
    for (const { serverId, wantsPace } of placer.listDegraded()) {
      if (!wantsPace || nowMs() - (askedMs.get(serverId) ?? -Infinity) < PACE_INTERVAL_MS) continue;
      askedMs.set(serverId, nowMs());
      placer.applyPace(serverId, findSlowness(load, Number(serverId), nowMs()));
    }
  };
  return {
    async place(job) {
      const decision = await placer.place(job);
      if (decision.kind === "refused") return undefined;
      return { primary: Number(decision.serverId), helpers: decision.helperIds.map(Number) };
    },
    started: (jobId) => placer.started(jobId),
    finished: (jobId) => placer.finished(jobId, JOB_OUTCOME.ANSWERED),
    dispatchWaiting() {
      if (load.slow?.statesPace === true) askPaces();
      placer.dispatchReady();
    },
  };
}
