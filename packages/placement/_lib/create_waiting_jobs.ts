import type { Clock, Millis } from "@jaypass/kernel";
import type { CallerReturn } from "../create_refusal_register.ts";
import type { PlacementDecision, PlacementJob } from "../types.ts";

/** A job that waits for a decision. */
export interface WaitingJob {
  job: PlacementJob;
  enqueuedAtMs: Millis;
  /** Set if its caller has come back after a refusal. */
  returned?: CallerReturn;
  resolve: (decision: PlacementDecision) => void;
}

/** Waiting jobs and their current times. */
export interface WaitingJobs {
  /** Adds a job; the promise resolves with the decision that ends its wait. */
  add(job: PlacementJob, returned?: CallerReturn): Promise<PlacementDecision>;
  /** Returns a waiting job. */
  find(jobId: string): WaitingJob | undefined;
  /** Lists the jobs in the order of their arrival. */
  list(): WaitingJob[];
  /** Removes a job and resolves its promise with a decision. */
  settle(entry: WaitingJob, decision: PlacementDecision): void;
  /** Milliseconds since the caller's request arrived. */
  waitedMs(entry: WaitingJob): Millis;
  /**
   * Milliseconds since the caller first asked: since its first request if it has come back as told, since
   * this one otherwise.
   */
  askedMs(entry: WaitingJob): Millis;
  /** Milliseconds until the caller gives up without a first byte. */
  remainingMs(entry: WaitingJob): Millis;
  /** Returns the job with its current times, for decisions and their log. */
  currentJob(entry: WaitingJob): PlacementJob;
  /** Number of waiting jobs. */
  size(): number;
}

/** Creates an empty list of waiting jobs. */
export function createWaitingJobs(clock: Clock): WaitingJobs {
  const entries = new Map<string, WaitingJob>();
  const queuedMs = (entry: WaitingJob) => clock.nowMs() - entry.enqueuedAtMs;
  const waitedMs = (entry: WaitingJob) => entry.job.elapsedMs + queuedMs(entry);
  const remainingMs = (entry: WaitingJob) => entry.job.remainingMs - queuedMs(entry);
  return {
    add: (job, returned) =>
      new Promise((resolve) => {
        entries.set(job.id, { job, enqueuedAtMs: clock.nowMs(), returned, resolve });
      }),
    find: (jobId) => entries.get(jobId),
    list: () => [...entries.values()],
    settle(entry, decision) {
      entries.delete(entry.job.id);
      entry.resolve(decision);
    },
    waitedMs,
    askedMs: (entry) =>
      waitedMs(entry) + (entry.returned?.isEarly === false ? entry.returned.sinceFirstMs : 0),
    remainingMs,
    currentJob: (entry) => ({
      ...entry.job,
      elapsedMs: waitedMs(entry),
      remainingMs: remainingMs(entry),
      wholeWithinMs: entry.job.wholeWithinMs - queuedMs(entry),
    }),
    size: () => entries.size,
  };
}
