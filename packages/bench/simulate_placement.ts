import { createPlacer, JOB_OUTCOME } from "@jaypass/placement";
import type { EngineProfile, PlacementJob, Placer } from "@jaypass/placement";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEventQueue } from "./_lib/engine_model.ts";
import { createPassEngine } from "./_lib/pass_engine.ts";
import type { PassEngine, PassRequest } from "./_lib/pass_engine.ts";

/** A kind of prompt in the played load. */
export interface PromptKind {
  /** Label of the kind. */
  name: string;
  /** Mean tokens of a prompt. */
  promptTokens: number;
  /** Mean requests a second, over all engines. */
  perSecond: number;
  /** Events of an answer. */
  events: number;
  /** Milliseconds to the first event that earn full credit. */
  goalMs: number;
  /** Longest pause between events that earns full credit. */
  pauseGoalMs: number;
  /** Milliseconds without an event after which the caller leaves. */
  abandonAfterMs: number;
  /** Urgency at the engines. */
  urgency: number;
  /** Credit of an answer that is late, as a part of that of one in time. */
  lateCreditShare: number;
}

/** Time during which the kinds come more or less often. */
export interface LoadPhase {
  /** Milliseconds that the phase lasts. */
  lengthMs: number;
  /** Factor on the rate of each kind, by its name. */
  factors: Record<string, number>;
}

/** What is played. */
export interface PlacementLoad {
  /** Engines of the service. */
  engines: number;
  /** Cost figures of each engine. */
  profile: EngineProfile;
  /** Kinds of prompts. */
  kinds: readonly PromptKind[];
  /** Phases, one after another. */
  phases: readonly LoadPhase[];
  /** Seed of arrivals and sizes. */
  seed: number;
}

/** Engines that a policy chooses. */
export interface PolicyChoice {
  first: number;
  helpers: readonly number[];
}

/** A way to place requests; undefined refuses the request. */
export interface PlacementPolicy {
  place(job: PlacementJob): Promise<PolicyChoice | undefined>;
  started(jobId: string): void;
  finished(jobId: string): void;
  /** Called every 50 ms. */
  dispatchWaiting(): void;
}

/** What callers of a kind got. */
export interface KindResult {
  requests: number;
  /** Answers with first event and pauses in time. */
  inTime: number;
  late: number;
  /** Refused, or left by their callers. */
  unserved: number;
  /** Credit earned as a part of the credit owed, each prompt weighed by its size. */
  credit: number;
  /** Milliseconds to the first event, of those that had one, in order. */
  firstEventMs: number[];
}

/** Milliseconds between two reviews of waiting prompts. */
const REVIEW_INTERVAL_MS = 50;

/** Spread of the logarithm of prompt sizes. */
const SIZE_SPREAD = 0.6;

/** Largest prompt as a multiple of the mean. */
const LARGEST_SIZE = 5;

/** Part of a request's credit that does not depend on its size. */
const FIXED_CREDIT = 0.3;

/**
 * Plays a load of prompts of unlike lengths through a placement policy on model engines.
 *
 * @param load engines, kinds and seed
 * @param createPolicy creates the policy on the simulated clock
 * @returns what callers got, by kind
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
    () => createPassEngine(queue, load.profile),
  );
  const policy = createPolicy(queue.nowMs);
  const tokensPerEvent = load.profile.stepsPerPass;
  const generator = xoroshiro128plus(load.seed);
  const random = () => uniformFloat64(generator);
  const results = new Map(load.kinds.map((kind) => [kind.name, createKindResult()]));
  let owed = new Map<string, number>();
  let open = 0;

  const send = (kind: PromptKind) => {
    const promptTokens = drawSize(kind.promptTokens, random);
    const result = results.get(kind.name)!;
    const weight = FIXED_CREDIT +
      (1 - FIXED_CREDIT) * Math.min(4, promptTokens / kind.promptTokens);
    result.requests += 1;
    owed = owed.set(kind.name, (owed.get(kind.name) ?? 0) + weight);
    open += 1;
    runRequest({ kind, promptTokens, engines, policy, queue, tokensPerEvent }, (end) => {
      open -= 1;
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
  const review = () => {
    policy.dispatchWaiting();
    if (queue.nowMs() < startMs || open > 0) {
      queue.at(queue.nowMs() + REVIEW_INTERVAL_MS, review);
    }
  };
  queue.at(0, review);
  while (queue.runNext()) {
    // Decisions are promises; each of them continues before the next event.
    for (let tick = 0; tick < 4; tick++) await Promise.resolve();
  }
  for (const [name, result] of results) {
    result.credit /= owed.get(name) ?? 1;
    result.firstEventMs.sort((a, b) => a - b);
  }
  return results;
}

function createKindResult(): KindResult {
  return { requests: 0, inTime: 0, late: 0, unserved: 0, credit: 0, firstEventMs: [] };
}

/** Draws a size from a lognormal distribution with the given mean, cut at its largest. */
function drawSize(mean: number, random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const size = mean * Math.exp(SIZE_SPREAD * normal - SIZE_SPREAD ** 2 / 2);
  return Math.round(Math.min(size, LARGEST_SIZE * mean));
}

interface RequestContext {
  kind: PromptKind;
  promptTokens: number;
  engines: readonly PassEngine[];
  policy: PlacementPolicy;
  /** Tokens of the answer that an event holds. */
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
  const watch = () => {
    if (hasEnded) return;
    if (queue.nowMs() >= lastMs + kind.abandonAfterMs) return end("unserved");
    queue.at(lastMs + kind.abandonAfterMs, watch);
  };
  queue.at(sentMs + kind.abandonAfterMs, watch);
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
    isRepeatable: true,
  }).then((choice) => {
    if (hasEnded) return;
    if (choice === undefined) return end("unserved");
    engines[choice.first]!.submit(request, choice.helpers.map((index) => engines[index]!));
  });
}

/**
 * Creates the policy of the product's placer, with the whole load in one place.
 *
 * @param load engines and cost figures
 * @param nowMs simulated time
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
  return {
    async place(job) {
      const decision = await placer.place(job);
      if (decision.kind === "refused") return undefined;
      return { first: Number(decision.serverId), helpers: decision.helperIds.map(Number) };
    },
    started: (jobId) => placer.started(jobId),
    finished: (jobId) => placer.finished(jobId, JOB_OUTCOME.ANSWERED),
    dispatchWaiting: () => placer.dispatchReady(),
  };
}
