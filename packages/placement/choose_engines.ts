import type { Millis } from "@jaypass/kernel";
import { computeReadMs } from "./compute_read_ms.ts";
import {
  GOAL_SHARE,
  LATE_LOSS_SHARE,
  LONG_READ_MS,
  MAX_HELPERS,
  MEMORY_SHARE,
  OVERHEAD_MS,
  QUIET_PART_MS,
  RESERVE_FREE_SLOTS,
  SPARE_SLOTS,
  SPLIT_GOAL_SHARE,
  UNANSWERED_LOSS_SHARE,
} from "./constants.ts";
import { computeWeight } from "./compute_weight.ts";
import type { ServerLoad } from "./create_server_load.ts";
import type { EngineProfile, PlacementJob, TicketPlan } from "./types.ts";

/** Engines chosen for a prompt, and what the choice is expected to cost. */
export interface EngineChoice {
  /** Engine that gets the request. */
  first: ServerLoad;
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
  harm: number;
  /** True when the first byte is expected within the job's goal. */
  isOnTime: boolean;
}

interface Candidate {
  load: ServerLoad;
  roomMs: Millis;
  backlogMs: Millis;
  writers: number;
  writersWeight: number;
  freeTokens: number;
}

/** Options of {@linkcode chooseEngines}. */
export interface ChooseOptions {
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
 * const choice = chooseEngines(job, loads, { profile, waitedMs: 0 });
 */
export function chooseEngines(
  job: PlacementJob,
  loads: readonly ServerLoad[],
  options: ChooseOptions,
): EngineChoice | undefined {
  const { profile } = options;
  const workMs = computeReadMs(job.promptTokens, profile);
  const all = loads.map((load) => toCandidate(load, profile));
  const free = all.filter(({ load }) => load.requests() < load.server.slots - SPARE_SLOTS);
  const candidates = free.length > 0 ? free : all;
  return (workMs <= QUIET_PART_MS ? packOnOne(job, candidates, options, workMs) : undefined) ??
    splitAtLeastLoss(job, withoutReserve(candidates, workMs), options, workMs) ??
    splitAtLeastLoss(job, all, options, workMs);
}

function toCandidate(load: ServerLoad, profile: EngineProfile): Candidate {
  return {
    load,
    roomMs: load.readRoomMs(),
    backlogMs: load.readBacklogMs(),
    writers: load.writers(),
    writersWeight: load.onTimeWeight(),
    freeTokens: profile.memoryTokens * MEMORY_SHARE - load.memoryTokens(),
  };
}

/** Keeps an idle engine for short prompts while those that write have few slots left. */
function withoutReserve(candidates: Candidate[], workMs: Millis): Candidate[] {
  if (workMs < LONG_READ_MS) return candidates;
  const packed = candidates.filter(({ writers, roomMs }) => writers > 0 && roomMs > 0);
  const freeSlots = packed.reduce(
    (sum, { load }) => sum + load.server.slots - SPARE_SLOTS - load.requests(),
    0,
  );
  if (freeSlots >= RESERVE_FREE_SLOTS) return candidates;
  const idle = candidates.filter(({ writers, backlogMs }) => writers === 0 && backlogMs === 0);
  const [reserved] = idle;
  return idle.length < 2 ? candidates : candidates.filter((candidate) => candidate !== reserved);
}

/** One engine on which a short prompt is in time and delays nobody. */
function packOnOne(
  job: PlacementJob,
  candidates: Candidate[],
  options: ChooseOptions,
  workMs: Millis,
): EngineChoice | undefined {
  const limitMs = job.goalMs * GOAL_SHARE - options.waitedMs;
  const fitting = candidates.filter(({ roomMs, backlogMs, load }) =>
    roomMs >= workMs && workMs + backlogMs <= job.pauseGoalMs &&
    backlogMs + workMs + load.passMs() <= limitMs
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

/** The number of engines with the least loss; of equal ones the fewest. */
function splitAtLeastLoss(
  job: PlacementJob,
  candidates: Candidate[],
  options: ChooseOptions,
  workMs: Millis,
): EngineChoice | undefined {
  const ordered = [...candidates].sort((a, b) =>
    a.writersWeight - b.writersWeight || a.backlogMs - b.backlogMs || b.roomMs - a.roomMs
  );
  const most = Math.min(ordered.length, MAX_HELPERS + 1);
  let best: { choice: EngineChoice; loss: number } | undefined;
  for (let count = 1; count <= most; count++) {
    const choice = compose(job, ordered.slice(0, count), options, workMs);
    if (choice === undefined) continue;
    const loss = choice.harm + lossOfLateness(job, choice, options);
    if (best === undefined || loss < best.loss) best = { choice, loss };
  }
  return best?.choice;
}

/** What the job itself loses: little while it is early, more once it is late or not answered. */
function lossOfLateness(
  job: PlacementJob,
  choice: EngineChoice,
  { waitedMs, leftMs }: ChooseOptions,
): number {
  const weight = computeWeight(job);
  if (choice.expectedMs > leftMs) return weight * UNANSWERED_LOSS_SHARE;
  const lateness = (choice.expectedMs + waitedMs) / job.goalMs;
  if (lateness <= SPLIT_GOAL_SHARE) return 0;
  // Among late choices the earlier one is still better, so the loss keeps growing with time.
  const growth = Math.min(1, lateness / (lateness + 1));
  return weight * (choice.isOnTime ? (1 - LATE_LOSS_SHARE) * growth : LATE_LOSS_SHARE + growth);
}

/** Puts the engine with the most memory first and reserves on helpers what it cannot hold. */
function compose(
  job: PlacementJob,
  chosen: Candidate[],
  { profile, waitedMs }: ChooseOptions,
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
  const passMs = Math.max(...chosen.map(({ load }) => load.passMs()));
  const expectedMs = backlogMs + partMs * readSlowdown(first, profile) + passMs + OVERHEAD_MS;
  const harm = chosen
    .filter(({ roomMs }) => partMs > roomMs)
    .reduce((sum, { writersWeight }) => sum + writersWeight, 0);
  return {
    first: first.load,
    helpers: others.map(({ load }) => load),
    tickets,
    partMs,
    backlogMs,
    expectedMs,
    harm,
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
