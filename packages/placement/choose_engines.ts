import type { Millis } from "@jaypass/kernel";
import { comparePlaces } from "./compare_places.ts";
import { computePrefillMs } from "./compute_prefill_ms.ts";
import {
  FIRST_BYTE_GOAL_SHARE,
  LATE_COST_SHARE,
  LONG_PREFILL_MIN_MS,
  MAX_FEWER_DECODING,
  MAX_HELPERS,
  NETWORK_OVERHEAD_MS,
  PACKED_PREFILL_MAX_MS,
  RESERVED_FREE_SLOTS,
  SHORT_PROMPT_GROWTH_FACTOR,
  SPARE_SLOTS,
  SPLIT_GOAL_SHARE,
  UNANSWERED_COST_FACTOR,
  UNSPLIT_PREFILL_MAX_MS,
  USABLE_MEMORY_SHARE,
} from "./constants.ts";
import { computeWeight } from "./compute_weight.ts";
import type { LoadSnapshot, PendingPrefill, ServerLoad } from "./create_server_load.ts";
import type { EngineProfile, PlacementJob, TicketPlan } from "./types.ts";
import { computePrefillDelayCost } from "./compute_prefill_delay_cost.ts";

/** Engines chosen for a prompt, and what the choice is expected to cost. */
export interface EngineChoice {
  /** Engine that gets the request. */
  primary: ServerLoad;
  /** Engines that prefill a part of the prompt. */
  helpers: ServerLoad[];
  /** Memory to reserve on helpers. */
  tickets: TicketPlan[];
  /** Expected milliseconds to prefill one part on the slowest engine; the parts are equal. */
  partMs: Millis;
  /** Expected milliseconds of earlier prefills on the busiest of the engines. */
  backlogMs: Millis;
  /** Expected milliseconds to the first byte. */
  expectedMs: Millis;
  /**
   * The two times at the usual speed of the engines, and the factor by which the primary is slower;
   * undefined if all have the usual speed.
   */
  usual?: { partMs: Millis; expectedMs: Millis; writeFactor: number };
  /** Weight of the requests that this prefill would make late. */
  delayCost: number;
  /** True when the first byte is expected within the job's goal. */
  isOnTime: boolean;
}

/** Load of an engine at the time of the choice. */
interface Candidate {
  load: ServerLoad;
  /** Requests that the engine answers. */
  requests: number;
  /** Short ones of these. */
  shortRequests: number;
  /** Factor by which the engine is slower than usual; the times of the candidate contain it. */
  factor: number;
  passMs: Millis;
  slotWaitMs: Millis;
  /** Longest prefill that makes no decoding request late. */
  headroomMs: Millis;
  backlogMs: Millis;
  /** Requests that decode or will decode after their prefill. */
  decoding: number;
  /** Weight of the decoding requests that can still meet their pause goals. */
  onTimeWeight: number;
  pendingPrefills: PendingPrefill[];
  freeTokens: number;
}

/** Options of {@linkcode chooseEngines}. */
export interface ChooseEnginesOptions {
  /** Cost model of the engines. */
  profile: EngineProfile;
  /** Milliseconds that the job has waited so far. */
  waitedMs: Millis;
  /** Milliseconds until the job's deadline. */
  remainingMs: Millis;
  /** Share of an engine's slots that short prompts fill before another engine is used. */
  packedShare: number;
}

/**
 * Chooses the engines that prefill and answer a prompt, at the lowest expected cost.
 *
 * Meant for short and long prompts on the same engines. The cost is the weight of the requests
 * whose first byte or whose pause between events misses its goal. Short prompts are packed on
 * engines that already decode, which keeps other engines idle. A long prompt is split over as few
 * engines as meet its goal, idle engines first. It is placed on engines with decoding requests only
 * if it makes none of them late, or if that costs less than the lateness of the prompt itself.
 *
 * @param job the request
 * @param loads usable engines of its service
 * @param options cost model, times of the job and packing limit
 * @returns the choice, or `undefined` when no set of engines has enough free memory
 *
 * @example
 * const times = { waitedMs: 0, remainingMs: 9_000 };
 * const choice = chooseEngines(job, loads, { profile, ...times, packedShare: 0.6 });
 */
export function chooseEngines(
  job: PlacementJob,
  loads: readonly ServerLoad[],
  options: ChooseEnginesOptions,
): EngineChoice | undefined {
  const { profile } = options;
  const prefillMs = computePrefillMs(job.promptTokens, profile);
  const candidates = loads.map((load) => toCandidate(load, profile));
  if (prefillMs <= PACKED_PREFILL_MAX_MS) {
    const choice = choosePackedEngine(job, candidates, options, prefillMs);
    if (choice !== undefined) return choice;
  }
  // A split request fails when any of its engines fails, so a retry of a medium prompt uses one
  // engine.
  const isUnsplit = prefillMs <= UNSPLIT_PREFILL_MAX_MS ||
    (job.isRetry && prefillMs < LONG_PREFILL_MIN_MS);
  if (isUnsplit) {
    const choice = chooseEarliestEngine(job, candidates, options, prefillMs);
    if (choice !== undefined) return choice;
  }
  if (prefillMs >= LONG_PREFILL_MIN_MS) {
    const choice = chooseCheapestSplit(job, excludeReservedEngines(candidates), options, prefillMs);
    if (choice !== undefined && choice.expectedMs <= options.remainingMs) return choice;
  }
  return chooseCheapestSplit(job, candidates, options, prefillMs);
}

function toCandidate(load: ServerLoad, profile: EngineProfile): Candidate {
  const snapshot = load.snapshot();
  const { requests, shortRequests, passMs, headroomMs, backlogMs, pendingPrefills } = snapshot;
  const factor = snapshot.speedFactor;
  return {
    load,
    requests,
    shortRequests,
    factor,
    passMs,
    headroomMs,
    backlogMs,
    slotWaitMs: computeSlotWait(snapshot, load.server.slots, profile),
    decoding: snapshot.decodingRequests,
    onTimeWeight: snapshot.onTimeWeight,
    pendingPrefills,
    freeTokens: profile.memoryTokens * USABLE_MEMORY_SHARE - snapshot.memoryTokens,
  };
}

/** Returns the expected milliseconds until the engine has a free slot. */
function computeSlotWait(
  { requests, passMs }: LoadSnapshot,
  slots: number,
  profile: EngineProfile,
): Millis {
  const ahead = requests - slots + 1;
  if (ahead <= 0) return 0;
  const answerMs = profile.usualAnswerTokens / profile.stepsPerPass * passMs;
  return ahead * answerMs / slots;
}

/**
 * Excludes the engines that the current short prompts need, with room for growth, so that a long
 * prefill does not occupy the slots that short prompts need next.
 */
function excludeReservedEngines(candidates: Candidate[]): Candidate[] {
  const short = candidates.reduce((sum, { shortRequests }) => sum + shortRequests, 0);
  const usableSlots = Math.max(1, (candidates[0]?.load.server.slots ?? 1) - SPARE_SLOTS);
  const needed = Math.ceil(
    (short * SHORT_PROMPT_GROWTH_FACTOR + RESERVED_FREE_SLOTS) / usableSlots,
  );
  const reserved = Math.min(needed, candidates.length - 1);
  return [...candidates].sort((a, b) =>
    b.shortRequests - a.shortRequests || b.onTimeWeight - a.onTimeWeight
  ).slice(reserved);
}

/** Chooses an engine on which a short prompt meets its goal and makes no other request late. */
function choosePackedEngine(
  job: PlacementJob,
  candidates: Candidate[],
  options: ChooseEnginesOptions,
  prefillMs: Millis,
): EngineChoice | undefined {
  const limitMs = job.goalMs * FIRST_BYTE_GOAL_SHARE - options.waitedMs;
  const fitting = candidates.filter((candidate) => {
    const { headroomMs, backlogMs, passMs, load, requests, factor } = candidate;
    const ownMs = prefillMs * factor;
    return requests < load.server.slots - SPARE_SLOTS &&
      headroomMs >= ownMs && ownMs + backlogMs <= job.pauseGoalMs &&
      backlogMs + ownMs + passMs <= limitMs && keepsPauses(job, candidate);
  });
  const isPacked = ({ decoding, load }: Candidate) =>
    decoding < load.server.slots * options.packedShare;
  const ordered = fitting.sort((a, b) =>
    a.factor - b.factor ||
    Number(isPacked(b)) - Number(isPacked(a)) ||
    (isPacked(a) ? b.decoding - a.decoding : a.decoding - b.decoding) ||
    a.backlogMs - b.backlogMs
  );
  const [best] = ordered;
  if (best === undefined) return undefined;
  // Packing on engines that decode matters more than the bytes between data centres, and the first byte
  // may come a pass later at most.
  const isAsGood = ({ factor, decoding, backlogMs, passMs }: Candidate) =>
    factor === best.factor && (decoding > 0) === (best.decoding > 0) &&
    best.decoding - decoding <= MAX_FEWER_DECODING &&
    backlogMs + passMs <= best.backlogMs + 2 * best.passMs;
  const near = job.dataCentre !== undefined && isPacked(best)
    ? ordered.find((candidate) =>
      isPacked(candidate) && candidate.load.server.dataCentre === job.dataCentre &&
      isAsGood(candidate)
    )
    : undefined;
  return buildChoice(job, [near ?? best], options, prefillMs);
}

/**
 * Chooses the one engine with the shortest expected wait. Splitting so short a prefill would only
 * add waits.
 */
function chooseEarliestEngine(
  job: PlacementJob,
  candidates: Candidate[],
  options: ChooseEnginesOptions,
  prefillMs: Millis,
): EngineChoice | undefined {
  const expectedWaitMs = ({ slotWaitMs, backlogMs, passMs, factor }: Candidate) =>
    slotWaitMs + backlogMs + passMs + prefillMs * (factor - 1);
  const ordered = [...candidates].sort((a, b) =>
    expectedWaitMs(a) - expectedWaitMs(b) || comparePlaces(job.dataCentre, a.load, b.load)
  );
  for (const candidate of ordered) {
    const choice = buildChoice(job, [candidate], options, prefillMs);
    if (choice !== undefined) return choice;
  }
  return undefined;
}

/** Chooses the number of engines with the lowest cost; of equal costs the fewest engines. */
function chooseCheapestSplit(
  job: PlacementJob,
  candidates: Candidate[],
  options: ChooseEnginesOptions,
  prefillMs: Millis,
): EngineChoice | undefined {
  const maxEngines = Math.min(candidates.length, MAX_HELPERS + 1);
  let best: { choice: EngineChoice; cost: number } | undefined;
  for (let count = 1; count <= maxEngines; count++) {
    const ordered = sortByCost(candidates, prefillMs / count);
    const choice = buildChoice(job, ordered.slice(0, count), options, prefillMs);
    if (choice === undefined) continue;
    const cost = choice.delayCost + computeLatenessCost(job, choice, options);
    if (best === undefined || cost < best.cost) best = { choice, cost };
    // More engines cannot cost less than nothing.
    if (cost === 0) break;
  }
  return best?.choice;
}

/** Sorts engines by the cost of a part of this length, then by the expected wait. */
function sortByCost(candidates: Candidate[], partMs: Millis): Candidate[] {
  return candidates
    .map((candidate) => {
      const { headroomMs, onTimeWeight, pendingPrefills, backlogMs, slotWaitMs } = candidate;
      const ownMs = partMs * candidate.factor;
      const decodingDelayCost = ownMs > headroomMs ? onTimeWeight : 0;
      return {
        candidate,
        cost: decodingDelayCost + computePrefillDelayCost(pendingPrefills, ownMs),
        waitMs: backlogMs + slotWaitMs + (ownMs - partMs),
      };
    })
    .sort((a, b) => a.cost - b.cost || a.waitMs - b.waitMs)
    .map(({ candidate }) => candidate);
}

/** Returns the cost of the job's own lateness; highest if it is not answered by its deadline. */
function computeLatenessCost(
  job: PlacementJob,
  choice: EngineChoice,
  { waitedMs, remainingMs }: ChooseEnginesOptions,
): number {
  const weight = computeWeight(job);
  if (choice.expectedMs > remainingMs) return weight * UNANSWERED_COST_FACTOR;
  const lateness = (choice.expectedMs + waitedMs) / job.goalMs;
  if (lateness <= SPLIT_GOAL_SHARE) return 0;
  // An earlier answer is better also among late ones, so the cost keeps growing with time.
  const growth = Math.min(1, lateness / (lateness + 1));
  return weight * (choice.isOnTime ? (1 - LATE_COST_SHARE) * growth : LATE_COST_SHARE + growth);
}

/**
 * Builds the choice for a set of engines. The primary is the fastest engine, of these the one with the
 * fewest decoding requests, then the most free memory; memory that it lacks is reserved on the helpers.
 */
function buildChoice(
  job: PlacementJob,
  chosen: Candidate[],
  { profile, waitedMs }: ChooseEnginesOptions,
  prefillMs: Millis,
): EngineChoice | undefined {
  const [primary, ...helpers] = [...chosen].sort((a, b) =>
    a.factor - b.factor || a.decoding - b.decoding || b.freeTokens - a.freeTokens
  );
  if (primary === undefined) return undefined;
  const tickets = planTickets(job, primary, helpers);
  if (tickets === undefined) return undefined;
  const usualPartMs = prefillMs / chosen.length;
  const slowest = Math.max(...chosen.map(({ factor }) => factor));
  const partMs = usualPartMs * slowest;
  const backlogMs = Math.max(...chosen.map((candidate) => candidate.backlogMs));
  const expectMs = (timeOf: (candidate: Candidate, ms: Millis) => Millis, ownPartMs: Millis) =>
    Math.max(...chosen.map((candidate) => timeOf(candidate, candidate.backlogMs))) +
    timeOf(primary, primary.slotWaitMs) + ownPartMs * computePrefillSlowdown(primary, profile) +
    Math.max(...chosen.map((candidate) => timeOf(candidate, candidate.passMs))) +
    NETWORK_OVERHEAD_MS;
  const expectedMs = expectMs((_, ms) => ms, partMs);
  const usual = slowest === 1 ? undefined : {
    partMs: usualPartMs,
    expectedMs: expectMs(({ factor }, ms) => ms / factor, usualPartMs),
    writeFactor: primary.factor,
  };
  // A helper runs its part before its own pending prefills, so they are delayed as well.
  const delayCost = chosen
    .filter(({ headroomMs, factor }) => usualPartMs * factor > headroomMs)
    .reduce((sum, { onTimeWeight }) => sum + onTimeWeight, 0) +
    helpers.reduce(
      (sum, { pendingPrefills, factor }) =>
        sum + computePrefillDelayCost(pendingPrefills, usualPartMs * factor),
      0,
    );
  return {
    primary: primary.load,
    helpers: helpers.map(({ load }) => load),
    tickets,
    partMs,
    backlogMs,
    expectedMs,
    usual,
    delayCost,
    isOnTime: expectedMs + waitedMs <= job.goalMs && keepsPauses(job, primary),
  };
}

/** Reports whether the passes of a slow engine are shorter than the longest pause of the job. */
function keepsPauses(job: PlacementJob, { factor, passMs }: Candidate): boolean {
  return factor === 1 || job.pauseGoalMs === 0 || passMs <= job.pauseGoalMs;
}

/** Returns the factor by which decode steps between the chunks slow a prefill down. */
function computePrefillSlowdown({ decoding }: Candidate, profile: EngineProfile): number {
  if (decoding === 0) return 1;
  const chunkMs = profile.chunkTokens / profile.readTokensPerMs;
  return 1 + profile.stepMs / chunkMs;
}

/** Plans the reservations for the tokens that the primary cannot hold; `undefined` without room. */
function planTickets(
  job: PlacementJob,
  primary: Candidate,
  helpers: Candidate[],
): TicketPlan[] | undefined {
  let missing = job.promptTokens + job.answerTokens - primary.freeTokens;
  const tickets: TicketPlan[] = [];
  for (const helper of [...helpers].sort((a, b) => b.freeTokens - a.freeTokens)) {
    if (missing <= 0) break;
    const tokens = Math.floor(Math.min(missing, helper.freeTokens));
    if (tokens <= 0) continue;
    tickets.push({ serverId: helper.load.server.id, tokens });
    missing -= tokens;
  }
  return missing > 0 ? undefined : tickets;
}
