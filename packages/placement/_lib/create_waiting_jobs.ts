import type { Clock, Millis } from "@jaypass/kernel";
import type { PlacementDecision, PlacementJob } from "../types.ts";

/** A job that waits for its decision. */
export interface WaitingJob {
  job: PlacementJob;
  enqueuedAtMs: Millis;
  resolve: (decision: PlacementDecision) => void;
}

/** Jobs that wait, with the times that pass for them. */
export interface WaitingJobs {
  /** Lets a job wait; settles when it leaves. */
  add(job: PlacementJob): Promise<PlacementDecision>;
  /** Finds a job that waits. */
  find(jobId: string): WaitingJob | undefined;
  /** All jobs, in the order of their arrival. */
  list(): WaitingJob[];
  /** Ends the wait of a job with a decision. */
  settle(entry: WaitingJob, decision: PlacementDecision): void;
  /** Milliseconds since the caller's request came. */
  waitedMs(entry: WaitingJob): Millis;
  /** Milliseconds until the caller leaves without a first byte. */
  remainingMs(entry: WaitingJob): Millis;
  /** The job with the time that it has waited, for decisions and their log. */
  currentJob(entry: WaitingJob): PlacementJob;
  /** Jobs that wait. */
  size(): number;
}

/** Creates an empty list of waiting jobs. */
export function createWaitingJobs(clock: Clock): WaitingJobs {
  const entries = new Map<string, WaitingJob>();
  const sinceMs = (entry: WaitingJob) => clock.nowMs() - entry.enqueuedAtMs;
  const waitedMs = (entry: WaitingJob) => entry.job.elapsedMs + sinceMs(entry);
  const leftMs = (entry: WaitingJob) => entry.job.remainingMs - sinceMs(entry);
  return {
    add: (job) =>
      new Promise((settle) => {
        entries.set(job.id, { job, enqueuedAtMs: clock.nowMs(), resolve: settle });
      }),
    find: (jobId) => entries.get(jobId),
    list: () => [...entries.values()],
    settle(entry, decision) {
      entries.delete(entry.job.id);
      entry.resolve(decision);
    },
    waitedMs,
    remainingMs: leftMs,
    currentJob: (entry) => ({
      ...entry.job,
      elapsedMs: waitedMs(entry),
      remainingMs: leftMs(entry),
    }),
    size: () => entries.size,
  };
}
