import type { Millis } from "@jaypass/kernel";
import type { PlacementJob } from "@jaypass/placement";

/**
 * Returns a job with its times some time later.
 *
 * @param job a job
 * @param waitedMs milliseconds that have passed since the job was described
 * @returns the job, with less time left by as much as its request has grown older
 *
 * @example
 * ageJob({ ...job, elapsedMs: 0, remainingMs: 5_000 }, 2_000); // elapsedMs 2_000, remainingMs 3_000
 */
export function ageJob(job: PlacementJob, waitedMs: Millis): PlacementJob {
  return {
    ...job,
    elapsedMs: job.elapsedMs + waitedMs,
    remainingMs: job.remainingMs - waitedMs,
    wholeWithinMs: job.wholeWithinMs - waitedMs,
  };
}
