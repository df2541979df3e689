import type { Millis } from "@jaypass/kernel";
import { computeReadMs } from "./compute_read_ms.ts";
import {
  GOAL_SHARE,
  MAX_HELPERS,
  MEMORY_SHARE,
  OVERHEAD_MS,
  QUIET_PART_MS,
  SPARE_SLOTS,
} from "./constants.ts";
import type { ServerLoad } from "./create_server_load.ts";
import type { EngineProfile, PlacementJob, TicketPlan } from "./types.ts";

/** Engines chosen for a prompt. */
export interface EngineChoice {
  /** Engine that gets the request. */
  first: ServerLoad;
  /** Engines that read a part of the prompt. */
  helpers: ServerLoad[];
  /** Memory to reserve on helpers. */
  tickets: TicketPlan[];
  /** Expected milliseconds of each part. */
  partMs: Millis;
  /** Expected milliseconds to the first byte. */
  expectedMs: Millis;
}

interface Candidate {
  load: ServerLoad;
  roomMs: Millis;
  backlogMs: Millis;
  writers: number;
  freeTokens: number;
}

/**
 * Chooses the engines that read and answer a prompt.
 *
 * The load it answers: short and long prompts on the same engines. Short prompts are packed on
 * engines that write already, which leaves others quiet for long reads. A prompt is read by as few
 * engines as meet its goal without delaying the writers there; where no number does, by quiet
 * engines only, so that writers are spared and the long prompt is late alone.
 *
 * @param job the request
 * @param loads usable engines of its service
 * @param profile cost figures of the engines
 * @returns the choice, or nothing when no engine has the memory
 *
 * @example
 * const choice = chooseEngines(job, loads, profile);
 */
export function chooseEngines(
  job: PlacementJob,
  loads: readonly ServerLoad[],
  profile: EngineProfile,
): EngineChoice | undefined {
  const candidates = loads.map((load) => toCandidate(load, profile));
  const workMs = computeReadMs(job.promptTokens, profile);
  return planWithinGoals(job, candidates, workMs) ??
    planWithLeastDelay(job, candidates, workMs);
}

function toCandidate(load: ServerLoad, profile: EngineProfile): Candidate {
  return {
    load,
    roomMs: load.readRoomMs(),
    backlogMs: load.readBacklogMs(),
    writers: load.writers(),
    freeTokens: profile.memoryTokens * MEMORY_SHARE - load.memoryTokens(),
  };
}

/** Fewest engines that meet the goal of the prompt and of all writers there. */
function planWithinGoals(
  job: PlacementJob,
  candidates: Candidate[],
  workMs: Millis,
): EngineChoice | undefined {
  const limitMs = job.goalMs * GOAL_SHARE;
  const free = candidates.filter(({ load }) => load.requests() < load.server.slots - SPARE_SLOTS);
  const packed = [...free].sort((a, b) => b.writers - a.writers || a.backlogMs - b.backlogMs);
  const single = packed.find((candidate) =>
    candidate.roomMs >= workMs && workMs <= QUIET_PART_MS &&
    workMs + candidate.backlogMs <= job.pauseGoalMs &&
    candidate.backlogMs + workMs + candidate.load.passMs() <= limitMs
  );
  if (single !== undefined) {
    const choice = compose(job, [single], workMs);
    if (choice !== undefined) return choice;
  }
  const roomy = [...free].sort((a, b) => b.roomMs - a.roomMs || a.backlogMs - b.backlogMs);
  const most = Math.min(roomy.length, MAX_HELPERS + 1);
  for (let count = 2; count <= most; count++) {
    const chosen = roomy.slice(0, count);
    const partMs = workMs / count;
    const leastRoomMs = Math.min(QUIET_PART_MS, ...chosen.map(({ roomMs }) => roomMs));
    const backlogMs = Math.max(...chosen.map((candidate) => candidate.backlogMs));
    if (partMs > leastRoomMs || partMs + backlogMs > limitMs) continue;
    const choice = compose(job, chosen, workMs);
    if (choice !== undefined) return choice;
  }
  return undefined;
}

/** Engines without writers where there are any; else those where the wait is shortest. */
function planWithLeastDelay(
  job: PlacementJob,
  candidates: Candidate[],
  workMs: Millis,
): EngineChoice | undefined {
  const byBacklog = [...candidates].sort((a, b) =>
    a.backlogMs - b.backlogMs || a.load.requests() - b.load.requests()
  );
  const quiet = byBacklog.filter(({ roomMs }) => roomMs >= QUIET_PART_MS);
  const pool = quiet.length > 0 ? quiet : byBacklog;
  const most = Math.min(pool.length, MAX_HELPERS + 1);
  const wanted = Math.max(1, Math.ceil(workMs / QUIET_PART_MS));
  for (let count = Math.min(wanted, most); count <= most; count++) {
    const choice = compose(job, pool.slice(0, count), workMs);
    if (choice !== undefined) return choice;
  }
  const all = [...candidates].sort((a, b) => b.freeTokens - a.freeTokens);
  return compose(job, all.slice(0, MAX_HELPERS + 1), workMs);
}

/** Puts the engine with the most memory first and reserves on helpers what it cannot hold. */
function compose(
  job: PlacementJob,
  chosen: Candidate[],
  workMs: Millis,
): EngineChoice | undefined {
  const [first, ...others] = chosen.length === 1
    ? chosen
    : [...chosen].sort((a, b) => b.freeTokens - a.freeTokens);
  if (first === undefined) return undefined;
  let missing = job.promptTokens + job.answerTokens - first.freeTokens;
  const tickets: TicketPlan[] = [];
  for (const helper of others) {
    if (missing <= 0) break;
    const tokens = Math.floor(Math.min(missing, helper.freeTokens));
    if (tokens <= 0) continue;
    tickets.push({ serverId: helper.load.server.id, tokens });
    missing -= tokens;
  }
  if (missing > 0) return undefined;
  const partMs = workMs / chosen.length;
  const backlogMs = Math.max(...chosen.map((candidate) => candidate.backlogMs));
  const passMs = Math.max(...chosen.map(({ load }) => load.passMs()));
  return {
    first: first.load,
    helpers: others.map(({ load }) => load),
    tickets,
    partMs,
    expectedMs: backlogMs + partMs + passMs + OVERHEAD_MS,
  };
}
