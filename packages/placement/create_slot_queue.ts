import type { Clock, Millis } from "@jaypass/kernel";
import { createWaitingJobs } from "./_lib/create_waiting_jobs.ts";
import type { WaitingJob } from "./_lib/create_waiting_jobs.ts";
import type { PlacementDecision, PlacementJob } from "./types.ts";

/** What the queue needs to know of prompts and engines. */
export interface SlotQueueCallbacks {
  /** Milliseconds from now to the first byte if the prompt had a free slot. */
  expectedMs(job: PlacementJob): Millis;
  /** Reports whether some engine that may take the job has a free slot. */
  hasFreeSlot(job: PlacementJob): boolean;
  /** Sends the job now; undefined when it does better to wait for another slot. */
  dispatch(job: PlacementJob): PlacementDecision | undefined;
  /** Refuses a job. */
  refuse(job: PlacementJob): PlacementDecision;
}

/** Prompts that wait for a slot of an engine. */
export interface SlotQueue {
  /** Lets a prompt wait; settles when it is sent, refused or cancelled. */
  add(job: PlacementJob): Promise<PlacementDecision>;
  /** Takes a prompt out, since its caller left; false when it does not wait. */
  cancel(jobId: string): boolean;
  /** Sends what fits now. */
  dispatchReady(): void;
  /** Prompts that wait. */
  size(): number;
}

/**
 * Creates the queue of prompts for which every engine is full.
 *
 * The load it answers: more short prompts than there are slots. Queued at the engines in the order of
 * their arrival, each of them waits for those before it and all become late. Here a free slot goes to
 * the prompt that has the least time left to be answered in time; prompts that are late already get
 * the slots that those leave, the oldest first, and are refused once their callers would have left.
 * A request that an engine has worked on already goes before all others.
 *
 * @param view expected times, and what can be done with a prompt
 * @param clock monotonic time source
 * @returns the queue, empty
 *
 * @example
 * const queue = createSlotQueue(view, clock);
 * const decision = await queue.add(job);
 */
export function createSlotQueue(view: SlotQueueCallbacks, clock: Clock): SlotQueue {
  const waiting = createWaitingJobs(clock);
  const { waitedMs, remainingMs: leftMs, currentJob: present, settle: leave } = waiting;

  const slackMs = (entry: WaitingJob) =>
    entry.job.goalMs - waitedMs(entry) - view.expectedMs(entry.job);

  const inOrder = () => {
    const all = waiting.list().map((entry) => ({ entry, slackMs: slackMs(entry) }));
    const retries = all.filter(({ entry }) => entry.job.isRetry);
    const firsts = all.filter(({ entry }) => !entry.job.isRetry);
    const inTime = firsts.filter((item) => item.slackMs >= 0)
      .sort((a, b) => a.slackMs - b.slackMs);
    const late = firsts.filter((item) => item.slackMs < 0)
      .sort((a, b) => leftMs(a.entry) - leftMs(b.entry));
    return [...retries, ...inTime, ...late].map(({ entry }) => entry);
  };

  return {
    add: waiting.add,
    cancel(jobId) {
      const entry = waiting.find(jobId);
      if (entry === undefined) return false;
      leave(entry, view.refuse(present(entry)));
      return true;
    },
    dispatchReady() {
      if (waiting.size() === 0) return;
      const fullServices = new Set<string>();
      for (const entry of inOrder()) {
        const { service, excludedIds } = entry.job;
        if (leftMs(entry) <= view.expectedMs(entry.job)) {
          leave(entry, view.refuse(present(entry)));
          continue;
        }
        if (fullServices.has(service)) continue;
        if (!view.hasFreeSlot(entry.job)) {
          if (excludedIds.length === 0) fullServices.add(service);
          continue;
        }
        const decision = view.dispatch(present(entry));
        if (decision !== undefined) leave(entry, decision);
      }
    },
    size: waiting.size,
  };
}
