import type { Clock, Millis } from "@jaypass/kernel";
import { createWaitingJobs } from "./_lib/create_waiting_jobs.ts";
import type { WaitingJob } from "./_lib/create_waiting_jobs.ts";
import { MAX_VAIN_TRIES } from "./constants.ts";
import type { CallerReturn } from "./create_refusal_register.ts";
import type { SharePolicy } from "./create_share_policy.ts";
import type { RefusalCause } from "./placer_types.ts";
import type { PlacementDecision, PlacementJob } from "./types.ts";

/** Functions through which the queue reads engine state and decides on jobs. */
export interface SlotQueueCallbacks {
  /** Returns the milliseconds from now to the first byte if the prompt got a slot now. */
  expectedMs(job: PlacementJob): Millis;
  /** Reports whether any engine that may take the job has a free slot. */
  hasFreeSlot(job: PlacementJob): boolean;
  /** Places the job; `undefined` if it should wait for a slot of another engine. */
  dispatch(job: PlacementJob): PlacementDecision | undefined;
  /**
   * Refuses a job, because of the work before it in engine milliseconds if that is known; the cause is
   * undefined if the queue has no policy.
   */
  refuse(job: PlacementJob, cause?: RefusalCause, aheadMs?: Millis): PlacementDecision;
  /** Shares and priorities; without it, no service has any. */
  policy?: SharePolicy;
}

/** Queue of prompts that wait for a free engine slot. */
export interface SlotQueue {
  /** Queues a prompt; the promise resolves when it is placed, refused or cancelled. */
  add(job: PlacementJob, returned?: CallerReturn): Promise<PlacementDecision>;
  /** Refuses a queued prompt in favour of a new one; returns false if none gives way to it. */
  makeRoom(job: PlacementJob): boolean;
  /** Removes a prompt whose caller left; returns false if it is not queued. */
  cancel(jobId: string): boolean;
  /** Places the prompts that get a free slot and refuses those that can no longer be answered. */
  dispatchReady(): void;
  /** Number of queued prompts. */
  size(): number;
}

/**
 * Creates the queue of prompts that wait because every engine is full.
 *
 * Meant for more short prompts than there are slots. If they queued at the engines in order of
 * arrival, each would wait for all earlier ones and all would become late. This queue gives a free
 * slot to the prompt with the least slack before its goal. Late prompts get the remaining slots,
 * the one with the least time before its deadline first, and are refused once they cannot be
 * answered before it. Retries go before all other prompts, because an engine has already worked on
 * them. A policy sorts the prompts of services with priorities, and refuses those for which the work
 * before them takes too long.
 *
 * @param callbacks expected times, and functions that place or refuse a prompt
 * @param clock monotonic time source
 * @returns an empty queue
 *
 * @example
 * const queue = createSlotQueue(callbacks, clock);
 * const decision = await queue.add(job);
 */
export function createSlotQueue(callbacks: SlotQueueCallbacks, clock: Clock): SlotQueue {
  const { policy } = callbacks;
  const waiting = createWaitingJobs(clock);
  const { askedMs, remainingMs, currentJob, settle } = waiting;

  const slackMs = (entry: WaitingJob) =>
    entry.job.goalMs - askedMs(entry) - callbacks.expectedMs(entry.job);

  const sortByPriority = () => {
    const all = waiting.list().map((entry) => ({ entry, slackMs: slackMs(entry) }));
    const retries = all.filter(({ entry }) => entry.job.isRetry);
    const firstAttempts = all.filter(({ entry }) => !entry.job.isRetry);
    const inTime = firstAttempts.filter((item) => item.slackMs >= 0)
      .sort((a, b) => a.slackMs - b.slackMs);
    const late = firstAttempts.filter((item) => item.slackMs < 0)
      .sort((a, b) => remainingMs(a.entry) - remainingMs(b.entry));
    const present = [...retries, ...inTime, ...late].map(({ entry }) => entry);
    return policy?.order(present, waiting) ?? present;
  };

  const review = (ordered: readonly WaitingJob[]) =>
    policy?.review(ordered, { ...waiting, expectedMs: callbacks.expectedMs });

  return {
    add: waiting.add,
    cancel(jobId) {
      const entry = waiting.find(jobId);
      if (entry === undefined) return false;
      settle(entry, callbacks.refuse(currentJob(entry), "cancelled"));
      return true;
    },
    makeRoom(job) {
      const ordered = sortByPriority();
      const entry = policy?.chooseDisplaced(ordered, job);
      if (entry === undefined) return false;
      const aheadMs = review(ordered)?.get(entry)?.aheadMs;
      settle(entry, callbacks.refuse(currentJob(entry), "displaced", aheadMs));
      return true;
    },
    dispatchReady() {
      if (waiting.size() === 0) {
        review([]);
        return;
      }
      const fullServices = new Set<string>();
      const vainTries = new Map<string, number>();
      const ordered = sortByPriority();
      const reviewed = review(ordered);
      for (const entry of ordered) {
        const { service, excludedIds } = entry.job;
        const isLate = remainingMs(entry) <= callbacks.expectedMs(entry.job);
        const { isUnservable = false, aheadMs } = reviewed?.get(entry) ?? {};
        if (isLate || (isUnservable && !callbacks.hasFreeSlot(entry.job))) {
          const cause = isLate ? "late" : "early";
          settle(entry, callbacks.refuse(currentJob(entry), cause, aheadMs));
          continue;
        }
        if (fullServices.has(service)) continue;
        if (!callbacks.hasFreeSlot(entry.job)) {
          if (excludedIds.length === 0) fullServices.add(service);
          continue;
        }
        const decision = callbacks.dispatch(currentJob(entry));
        if (decision !== undefined) {
          settle(entry, decision);
          continue;
        }
        const tries = (vainTries.get(service) ?? 0) + 1;
        vainTries.set(service, tries);
        if (tries >= MAX_VAIN_TRIES) fullServices.add(service);
      }
    },
    size: waiting.size,
  };
}
