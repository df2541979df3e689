import { compareUrgency, nameWorkspace } from "./order_waiting_jobs.ts";
import type { PlacementJob } from "./types.ts";

/**
 * Chooses the waiting job that gives way to a new one in a full queue.
 *
 * Meant for a workspace that fills the queue, so that others find no room. The last job of the workspace
 * with the most jobs gives way to a job of a workspace with fewer. Where no workspace has more, the last
 * job of the new job's own workspace gives way if it is less urgent.
 *
 * @param ordered waiting jobs, in the order in which they are served
 * @param newJob the job that finds the queue full
 * @returns the job that gives way; undefined if the new job must
 *
 * @example
 * const displaced = chooseDisplacedJob(waiting.map(({ job }) => job), job);
 */
export function chooseDisplacedJob(
  ordered: readonly PlacementJob[],
  newJob: PlacementJob,
): PlacementJob | undefined {
  const byWorkspace = new Map<string, PlacementJob[]>();
  for (const job of ordered) {
    const workspace = nameWorkspace(job);
    const jobs = byWorkspace.get(workspace) ?? [];
    byWorkspace.set(workspace, jobs);
    jobs.push(job);
  }
  const own = byWorkspace.get(nameWorkspace(newJob)) ?? [];
  const largest = [...byWorkspace.values()].reduce((a, b) => b.length > a.length ? b : a, own);
  const last = largest.at(-1);
  if (last === undefined || largest.length > own.length) return last;
  return compareUrgency(newJob, last) < 0 ? last : undefined;
}
