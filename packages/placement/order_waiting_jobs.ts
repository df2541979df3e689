import type { Millis } from "@jaypass/kernel";
import { AGEING_GOAL_SHARE } from "./constants.ts";
import type { CallerReturn } from "./create_refusal_register.ts";
import type { PlacementJob } from "./types.ts";

/** What the order of a waiting job depends on, beside the present order. */
export interface OrderedJob {
  job: Pick<PlacementJob, "service" | "goalMs" | "workspace" | "priority" | "routePriority">;
  /** Milliseconds since the request arrived. */
  waitedMs: Millis;
  /** Work of the request in engine milliseconds. */
  engineMs: Millis;
  /** Set if its caller has come back after a refusal. */
  returned?: CallerReturn;
}

/** Recent work at the service of the jobs, in engine milliseconds. */
export interface OrderOptions {
  /** Returns the recent work of a workspace. */
  usedMs: (workspace: string) => Millis;
  /** Returns the equal share of the workspaces that have work, of which these wait. */
  shareMs: (waiting: ReadonlySet<string>) => Millis;
}

/** Returns the name under which the work of a job counts; that of public routes counts together. */
export function nameWorkspace(job: Pick<PlacementJob, "workspace">): string {
  return job.workspace ?? "";
}

/** Compares the urgency of two jobs without regard to their age; negative if `a` is more urgent. */
export function compareUrgency(a: OrderedJob["job"], b: OrderedJob["job"]): number {
  return (a.priority ?? 0) - (b.priority ?? 0) || (a.routePriority ?? 0) - (b.routePriority ?? 0);
}

/**
 * Sorts the waiting jobs of a service by urgency and by the shares of workspaces.
 *
 * Meant for more prompts than slots, of different priorities and from workspaces of very different size.
 * The more urgent jobs go first; each job moves up one step for each half of its goal that it has waited,
 * so that none starves. Within a step, jobs with which their workspace stays below its equal share go
 * first. Among those, callers that came back as told go before new ones, and callers that came back too
 * early go last. What remains equal keeps its order.
 *
 * @param items waiting jobs of one service, in the order that holds without priorities
 * @param describe describes a job
 * @param options recent work of the workspaces
 * @returns the jobs in the order in which they are served
 *
 * @example
 * orderWaitingJobs(entries, describe, { usedMs: () => 0, shareMs: () => 0 });
 */
export function orderWaitingJobs<T>(
  items: readonly T[],
  describe: (item: T) => OrderedJob,
  { usedMs, shareMs }: OrderOptions,
): T[] {
  const described = items.map((item) => ({ item, ...describe(item) }));
  const steps = described.map(({ job }) => job).sort(compareUrgency)
    .filter((job, at, all) => at === 0 || compareUrgency(job, all[at - 1] ?? job) !== 0);
  const rankOf = new Map(steps.map((job, rank) => [toStep(job), rank]));
  const ranked = described.map((entry, at) => {
    const { job, waitedMs, returned } = entry;
    const aged = Math.floor(waitedMs / (Math.max(1, job.goalMs) * AGEING_GOAL_SHARE));
    const rank = Math.max(0, (rankOf.get(toStep(job)) ?? 0) - Math.max(0, aged));
    return { ...entry, at, rank, returnRank: rankReturn(returned), isAboveShare: false };
  }).sort((a, b) => a.rank - b.rank || a.returnRank - b.returnRank || a.at - b.at);
  const share = shareMs(new Set(described.map(({ job }) => nameWorkspace(job))));
  // Each job counts for the ones of its workspace behind it, as if it were placed.
  const projected = new Map<string, Millis>();
  for (const entry of ranked) {
    const workspace = nameWorkspace(entry.job);
    const workMs = projected.get(workspace) ?? usedMs(workspace);
    entry.isAboveShare = workMs > 0 && workMs >= share;
    projected.set(workspace, workMs + entry.engineMs);
  }
  return ranked.sort((a, b) =>
    a.rank - b.rank || Number(a.isAboveShare) - Number(b.isAboveShare) ||
    a.returnRank - b.returnRank || a.at - b.at
  ).map(({ item }) => item);
}

function toStep({ priority = 0, routePriority = 0 }: OrderedJob["job"]): string {
  return `${priority}/${routePriority}`;
}

function rankReturn(returned: CallerReturn | undefined): number {
  if (returned === undefined) return 1;
  return returned.isEarly ? 2 : 0;
}
