import type { Clock, Millis } from "@jaypass/kernel";
import { createWaitingJobs } from "./_lib/create_waiting_jobs.ts";
import type { WaitingJob } from "./_lib/create_waiting_jobs.ts";
import type { EngineChoice } from "./choose_engines.ts";
import {
  DEADLINE_MARGIN_MS,
  DISPATCH_SLACK_MS,
  LATE_COST_SHARE,
  LATE_MAX_DELAY_COST_SHARE,
  LATE_PART_DEADLINE_SHARE,
  LATE_PART_MAX_FACTOR,
  LATE_PART_MAX_MS,
  MAX_QUEUED_PROMPTS,
  READY_MAX_BACKLOG_MS,
  URGENT_MAX_DELAY_COST_SHARE,
} from "./constants.ts";
import { computeWeight } from "./compute_weight.ts";
import type { PlacementDecision, PlacementJob } from "./types.ts";

/** Functions through which the queue reads engine state and decides on jobs. */
export interface LongPromptQueueCallbacks {
  /** Returns the best current choice of engines; `undefined` without enough free memory. */
  choose(job: PlacementJob, waitedMs: Millis, remainingMs: Millis): EngineChoice | undefined;
  /**
   * Returns the milliseconds that all engines together would need to prefill the prompt if idle.
   */
  minPrefillMs(job: PlacementJob): Millis;
  /** Returns the milliseconds that all engines together need to finish their current prefills. */
  backlogMs(job: PlacementJob): Millis;
  /** Places the job on the engines of a choice. */
  dispatch(job: PlacementJob, choice: EngineChoice): PlacementDecision;
  /** Refuses a job that cannot be answered before its deadline, with a delay for a retry. */
  refuse(job: PlacementJob, retryAfterMs: Millis): PlacementDecision;
}

/** Queue of long prompts that wait for idle engines. */
export interface LongPromptQueue {
  /** Reports whether the prompt should be placed with this choice at once. */
  isReady(choice: EngineChoice): boolean;
  /** Reports whether another prompt may be queued. */
  hasRoom(): boolean;
  /** Queues a prompt; the promise resolves when it is placed, refused or cancelled. */
  add(job: PlacementJob): Promise<PlacementDecision>;
  /** Removes a prompt whose caller left; returns false if it is not queued. */
  cancel(jobId: string): boolean;
  /** Places the prompts that are due and refuses those that can no longer be answered. */
  dispatchReady(): void;
  /** Number of queued prompts. */
  size(): number;
}

/**
 * Creates the queue of long prompts.
 *
 * Meant for more long prompts than the engines can prefill in time. Without this queue they would
 * wait on all engines, where each of them becomes late and short prompts wait behind them. A prompt
 * leaves the queue when idle engines can prefill it within its goal. Prompts that can still meet
 * their goals go before late ones; a late prompt is placed when engines are idle or its deadline is
 * close. A prompt is refused at once if it could not be prefilled before its deadline even if all
 * engines did only that and the prefills before it.
 *
 * @param callbacks engine state, and functions that place or refuse a prompt
 * @param clock monotonic time source
 * @returns an empty queue
 *
 * @example
 * const queue = createLongPromptQueue(callbacks, clock);
 * const decision = await queue.add(job);
 */
export function createLongPromptQueue(
  callbacks: LongPromptQueueCallbacks,
  clock: Clock,
): LongPromptQueue {
  const waiting = createWaitingJobs(clock);
  const { waitedMs, remainingMs, currentJob, settle } = waiting;

  const slackMs = (entry: WaitingJob) =>
    entry.job.goalMs - waitedMs(entry) - callbacks.minPrefillMs(entry.job);
  const deadlineSlackMs = (entry: WaitingJob) =>
    remainingMs(entry) - callbacks.minPrefillMs(entry.job);

  const isReady = (choice: EngineChoice) =>
    choice.delayCost === 0 && choice.isOnTime && choice.backlogMs <= READY_MAX_BACKLOG_MS;

  /**
   * Sorts prompts that can meet their goals by slack, then late prompts by size, smallest first.
   */
  const sortByPriority = () => {
    const all = waiting.list().map((entry) => ({ entry, slackMs: slackMs(entry) }));
    const inTime = all.filter((item) => item.slackMs >= 0).sort((a, b) => a.slackMs - b.slackMs);
    const late = all.filter((item) => item.slackMs < 0)
      .sort((a, b) => a.entry.job.promptTokens - b.entry.job.promptTokens);
    return [...inTime, ...late];
  };

  const shouldDispatch = (
    { entry, slackMs }: { entry: WaitingJob; slackMs: Millis },
    choice: EngineChoice,
    hasOnTimeAhead: boolean,
  ): boolean => {
    if (isReady(choice)) return true;
    if (choice.expectedMs > remainingMs(entry)) return false;
    const weight = computeWeight(entry.job);
    // Under load, the engines that may be taken need several times the shortest time.
    const neededMs = Math.max(choice.expectedMs, 2 * callbacks.minPrefillMs(entry.job));
    const isDeadlineClose = remainingMs(entry) <= DEADLINE_MARGIN_MS + neededMs;
    if (isDeadlineClose) return choice.delayCost <= URGENT_MAX_DELAY_COST_SHARE * weight;
    const latenessCost = LATE_COST_SHARE * weight;
    if (slackMs >= 0) {
      return slackMs <= DISPATCH_SLACK_MS && choice.isOnTime && choice.delayCost < latenessCost;
    }
    const maxPartMs = Math.max(
      LATE_PART_MAX_MS,
      LATE_PART_MAX_FACTOR * callbacks.minPrefillMs(entry.job),
      LATE_PART_DEADLINE_SHARE * deadlineSlackMs(entry),
    );
    return !hasOnTimeAhead && choice.backlogMs <= READY_MAX_BACKLOG_MS &&
      choice.partMs <= maxPartMs &&
      choice.delayCost <= LATE_MAX_DELAY_COST_SHARE * weight;
  };

  return {
    isReady,
    hasRoom: () => waiting.size() < MAX_QUEUED_PROMPTS,
    add: waiting.add,
    cancel(jobId) {
      const entry = waiting.find(jobId);
      if (entry === undefined) return false;
      settle(entry, callbacks.refuse(currentJob(entry), 0));
      return true;
    },
    dispatchReady() {
      let hasOnTimeAhead = false;
      let aheadMs = 0;
      for (const item of sortByPriority()) {
        const { entry } = item;
        const precedingMs = aheadMs + callbacks.backlogMs(entry.job);
        if (deadlineSlackMs(entry) < precedingMs) {
          settle(entry, callbacks.refuse(currentJob(entry), precedingMs));
          continue;
        }
        aheadMs += callbacks.minPrefillMs(entry.job);
        const choice = callbacks.choose(entry.job, waitedMs(entry), remainingMs(entry));
        if (choice !== undefined && shouldDispatch(item, choice, hasOnTimeAhead)) {
          settle(entry, callbacks.dispatch(currentJob(entry), choice));
        } else if (item.slackMs >= 0) hasOnTimeAhead = true;
      }
    },
    size: waiting.size,
  };
}
