import type { Millis } from "@jaypass/kernel";
import { computePrefillMs } from "./compute_prefill_ms.ts";
import {
  FIRST_BYTE_GOAL_SHARE,
  LATE_COST_SHARE,
  LONG_PREFILL_MIN_MS,
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
import type { PendingPrefill, ServerLoad } from "./create_server_load.ts";
import type { EngineProfile, PlacementJob, TicketPlan } from "./types.ts";
import { computePrefillDelayCost } from "./compute_prefill_delay_cost.ts";

/** Engines chosen for a prompt, and what the choice is expected to cost. */
export interface EngineChoice {
  /** Engine that gets the request. */
  primary: ServerLoad;
  /** Engines that read a part of the prompt. */
  helpers: ServerLoad[];
  /** Memory to reserve on helpers. */
  tickets: TicketPlan[];
  /** Expected milliseconds of each part. */
  partMs: Millis;
  /** Expected milliseconds of reads that come before. */
  backlogMs: Millis;
  /** Expected milliseconds to the first byte. */
  expectedMs: Millis;
  /** Weight of the writers that this read delays beyond their goals. */
  delayCost: number;
  /** True when the first byte is expected within the job's goal. */
  isOnTime: boolean;
}

interface Candidate {
  load: ServerLoad;
  passMs: Millis;
  slotWaitMs: Millis;
  roomMs: Millis;
  backlogMs: Millis;
  writers: number;
  writersWeight: number;
  readers: PendingPrefill[];
  freeTokens: number;
}

/** Options of {@linkcode chooseEngines}. */
export interface ChooseEnginesOptions {
  /** Cost figures of the engines. */
  profile: EngineProfile;
  /** Milliseconds that the job has waited already. */
  waitedMs: Millis;
  /** Milliseconds until the job's deadline. */
  leftMs: Millis;
  /** Part of an engine's slots up to which short prompts are packed before another is opened. */
  packedShare: number;
}

/**
 * Chooses the engines that read and answer a prompt, at the least expected loss.
 *
 * The load it answers: short and long prompts on the same engines. A loss is a request whose first
 * byte or whose pause is later than its goal, weighed by its size. Short prompts are packed on
 * engines that write already, which leaves others quiet; a long prompt is split over as few engines
 * as meet its goal, quiet ones first, and over engines with writers only where that delays none of
 * them or loses less than the prompt itself.
 *
 * @param job the request
 * @param loads usable engines of its service
 * @param options cost figures and the time waited
 * @returns the choice, or nothing when no engines have the memory
 *
 * @example
 * const choice = chooseEngines(job, loads, { profile, waitedMs: 0, leftMs: 9_000, packedShare: 0.6 });
 */
export function chooseEngines(
  job: PlacementJob,
  loads: readonly ServerLoad[],
  options: ChooseEnginesOptions,
): EngineChoice | undefined {
  const { profile } = options;
  const workMs = computePrefillMs(job.promptTokens, profile);
  const all = loads.map((load) => toCandidate(load, profile));
  if (workMs <= PACKED_PREFILL_MAX_MS) {
    const choice = packOnOne(job, all, options, workMs);
    if (choice !== undefined) return choice;
  }
  // A part fails with any of its helpers, so the second try of a middle prompt takes one engine.
  const isUndivided = workMs <= UNSPLIT_PREFILL_MAX_MS ||
    (job.isRetry && workMs < LONG_PREFILL_MIN_MS);
  if (isUndivided) {
    const choice = leastWait(job, all, options, workMs);
    if (choice !== undefined) return choice;
  }
  if (workMs >= LONG_PREFILL_MIN_MS) {
    const choice = splitAtLeastLoss(job, withoutReserve(all), options, workMs);
    if (choice !== undefined && choice.expectedMs <= options.leftMs) return choice;
  }
  return splitAtLeastLoss(job, all, options, workMs);
}

function toCandidate(load: ServerLoad, profile: EngineProfile): Candidate {
  const passMs = load.passMs();
  return {
    load,
    passMs,
    roomMs: load.prefillHeadroomMs(),
    backlogMs: load.prefillBacklogMs(),
    slotWaitMs: computeSlotWait(load, profile, passMs),
    writers: load.decodingRequests(),
    writersWeight: load.onTimeWeight(),
    readers: load.pendingPrefills(),
    freeTokens: profile.memoryTokens * USABLE_MEMORY_SHARE - load.memoryTokens(),
  };
}

/** Expected milliseconds until one of an engine's slots is free. */
function computeSlotWait(load: ServerLoad, profile: EngineProfile, passMs: Millis): Millis {
  const { slots } = load.server;
  const ahead = load.requests() - slots + 1;
  if (ahead <= 0) return 0;
  const answerMs = profile.usualAnswerTokens / profile.stepsPerPass * passMs;
  return ahead * answerMs / slots;
}

/**
 * Leaves out the engines that the present short prompts fill, and some more, so that a long read
 * does not take what they need next.
 */
function withoutReserve(candidates: Candidate[]): Candidate[] {
  const short = candidates.reduce((sum, { load }) => sum + load.shortRequests(), 0);
  const usableSlots = Math.max(1, (candidates[0]?.load.server.slots ?? 1) - SPARE_SLOTS);
  const needed = Math.ceil(
    (short * SHORT_PROMPT_GROWTH_FACTOR + RESERVED_FREE_SLOTS) / usableSlots,
  );
  const kept = Math.min(needed, candidates.length - 1);
  return [...candidates].sort((a, b) =>
    b.load.shortRequests() - a.load.shortRequests() || b.writersWeight - a.writersWeight
  ).slice(kept);
}

/** One engine on which a short prompt is in time and delays nobody. */
function packOnOne(
  job: PlacementJob,
  candidates: Candidate[],
  options: ChooseEnginesOptions,
  workMs: Millis,
): EngineChoice | undefined {
  const limitMs = job.goalMs * FIRST_BYTE_GOAL_SHARE - options.waitedMs;
  const fitting = candidates.filter(({ roomMs, backlogMs, passMs, load }) =>
    load.requests() < load.server.slots - SPARE_SLOTS &&
    roomMs >= workMs && workMs + backlogMs <= job.pauseGoalMs &&
    backlogMs + workMs + passMs <= limitMs
  );
  const isPacked = ({ writers, load }: Candidate) =>
    writers < load.server.slots * options.packedShare;
  const ordered = fitting.sort((a, b) =>
    Number(isPacked(b)) - Number(isPacked(a)) ||
    (isPacked(a) ? b.writers - a.writers : a.writers - b.writers) ||
    a.backlogMs - b.backlogMs
  );
  const [best] = ordered;
  return best === undefined ? undefined : compose(job, [best], options, workMs);
}

/** The one engine that is expected to answer first; parts of so short a read would only add waits. */
function leastWait(
  job: PlacementJob,
  candidates: Candidate[],
  options: ChooseEnginesOptions,
  workMs: Millis,
): EngineChoice | undefined {
  const waitOf = ({ slotWaitMs, backlogMs, passMs }: Candidate) => slotWaitMs + backlogMs + passMs;
  const ordered = [...candidates].sort((a, b) => waitOf(a) - waitOf(b));
  for (const candidate of ordered) {
    const choice = compose(job, [candidate], options, workMs);
    if (choice !== undefined) return choice;
  }
  return undefined;
}

/** The number of engines with the least loss; of equal ones the fewest. */
function splitAtLeastLoss(
  job: PlacementJob,
  candidates: Candidate[],
  options: ChooseEnginesOptions,
  workMs: Millis,
): EngineChoice | undefined {
  const most = Math.min(candidates.length, MAX_HELPERS + 1);
  let best: { choice: EngineChoice; loss: number } | undefined;
  for (let count = 1; count <= most; count++) {
    const ordered = orderByLoss(candidates, workMs / count);
    const choice = compose(job, ordered.slice(0, count), options, workMs);
    if (choice === undefined) continue;
    const loss = choice.delayCost + lossOfLateness(job, choice, options);
    if (best === undefined || loss < best.loss) best = { choice, loss };
  }
  return best?.choice;
}

/** Engines whose writers a part of this length does not delay come first, the least busy before. */
function orderByLoss(candidates: Candidate[], partMs: Millis): Candidate[] {
  return candidates
    .map((candidate) => {
      const { roomMs, writersWeight, readers, backlogMs, slotWaitMs } = candidate;
      const lossOfWriters = partMs > roomMs ? writersWeight : 0;
      return {
        candidate,
        loss: lossOfWriters + computePrefillDelayCost(readers, partMs),
        waitMs: backlogMs + slotWaitMs,
      };
    })
    .sort((a, b) => a.loss - b.loss || a.waitMs - b.waitMs)
    .map(({ candidate }) => candidate);
}

/** What the job itself loses: little while it is early, more once it is late or not answered. */
function lossOfLateness(
  job: PlacementJob,
  choice: EngineChoice,
  { waitedMs, leftMs }: ChooseEnginesOptions,
): number {
  const weight = computeWeight(job);
  if (choice.expectedMs > leftMs) return weight * UNANSWERED_COST_FACTOR;
  const lateness = (choice.expectedMs + waitedMs) / job.goalMs;
  if (lateness <= SPLIT_GOAL_SHARE) return 0;
  // Among late choices the earlier one is still better, so the loss keeps growing with time.
  const growth = Math.min(1, lateness / (lateness + 1));
  return weight * (choice.isOnTime ? (1 - LATE_COST_SHARE) * growth : LATE_COST_SHARE + growth);
}

/** Puts the engine with the most memory first and reserves on helpers what it cannot hold. */
function compose(
  job: PlacementJob,
  chosen: Candidate[],
  { profile, waitedMs }: ChooseEnginesOptions,
  workMs: Millis,
): EngineChoice | undefined {
  const [first, ...others] = [...chosen].sort((a, b) =>
    a.writers - b.writers || b.freeTokens - a.freeTokens
  );
  if (first === undefined) return undefined;
  const tickets = planTickets(job, first, others);
  if (tickets === undefined) return undefined;
  const partMs = workMs / chosen.length;
  const backlogMs = Math.max(...chosen.map((candidate) => candidate.backlogMs));
  const passMs = Math.max(...chosen.map((candidate) => candidate.passMs));
  const expectedMs = backlogMs + first.slotWaitMs + partMs * readSlowdown(first, profile) +
    passMs + NETWORK_OVERHEAD_MS;
  const harm = chosen
    .filter(({ roomMs }) => partMs > roomMs)
    .reduce((sum, { writersWeight }) => sum + writersWeight, 0) +
    others.reduce((sum, { readers }) => sum + computePrefillDelayCost(readers, partMs), 0);
  return {
    primary: first.load,
    helpers: others.map(({ load }) => load),
    tickets,
    partMs,
    backlogMs,
    expectedMs,
    delayCost: harm,
    isOnTime: expectedMs + waitedMs <= job.goalMs,
  };
}

/** Reading goes on between token steps while some request writes. */
function readSlowdown({ writers }: Candidate, profile: EngineProfile): number {
  if (writers === 0) return 1;
  const chunkMs = profile.chunkTokens / profile.readTokensPerMs;
  return 1 + profile.stepMs / chunkMs;
}

function planTickets(
  job: PlacementJob,
  first: Candidate,
  helpers: Candidate[],
): TicketPlan[] | undefined {
  let missing = job.promptTokens + job.answerTokens - first.freeTokens;
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
