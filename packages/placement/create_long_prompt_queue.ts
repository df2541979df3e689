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
  MAX_LONG_VAIN_TRIES,
  MAX_QUEUED_PROMPTS,
  READY_MAX_BACKLOG_MS,
  URGENT_MAX_DELAY_COST_SHARE,
} from "./constants.ts";
import { computeWeight } from "./compute_weight.ts";
import type { CallerReturn } from "./create_refusal_register.ts";
import type { SharePolicy } from "./create_share_policy.ts";
import type { RefusalCause } from "./placer_types.ts";
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
  refuse(job: PlacementJob, retryAfterMs: Millis, cause?: RefusalCause): PlacementDecision;
  /** Order of the prompts of services with priorities; without it, no service has any. */
  policy?: SharePolicy;
}

/** A waiting prompt and its times at one review. */
interface WaitingPrompt {
  entry: WaitingJob;
  /** Milliseconds in which all engines together would prefill it if idle. */
  minPrefillMs: Millis;
  /** Milliseconds before its goal at which such a prefill must start; negative if it is late. */
  slackMs: Millis;
  /** The same before its deadline. */
  deadlineSlackMs: Millis;
}

/**
 * Prompts that each review tries first, in the order of their priority; the remaining tries go to the
 * others in turn.
 */
const FIRST_TRIES = 12;

/** Queue of long prompts that wait for idle engines. */
export interface LongPromptQueue {
  /** Reports whether the prompt should be placed with this choice at once. */
  isReady(choice: EngineChoice): boolean;
  /** Reports whether another prompt may be queued. */
  hasRoom(): boolean;
  /** Queues a prompt; the promise resolves when it is placed, refused or cancelled. */
  add(job: PlacementJob, returned?: CallerReturn): Promise<PlacementDecision>;
  /** Refuses a queued prompt in favour of a new one; returns false if none gives way to it. */
  makeRoom(job: PlacementJob): boolean;
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
  const { policy } = callbacks;
  const waiting = createWaitingJobs(clock);
  const { waitedMs, askedMs, remainingMs, currentJob, settle } = waiting;
  let nextStart = 0;

  /** Describes the waiting prompts now. */
  const describeWaiting = (): WaitingPrompt[] =>
    waiting.list().map((entry) => {
      const minPrefillMs = callbacks.minPrefillMs(entry.job);
      return {
        entry,
        minPrefillMs,
        slackMs: entry.job.goalMs - askedMs(entry) - minPrefillMs,
        deadlineSlackMs: remainingMs(entry) - minPrefillMs,
      };
    });

  const isReady = (choice: EngineChoice) =>
    choice.delayCost === 0 && choice.isOnTime && choice.backlogMs <= READY_MAX_BACKLOG_MS;

  /**
   * Sorts prompts that can meet their goals by slack, then late prompts by size, smallest first.
   */
  const sortByPriority = (all: readonly WaitingPrompt[]): WaitingPrompt[] => {
    const inTime = all.filter((item) => item.slackMs >= 0).sort((a, b) => a.slackMs - b.slackMs);
    const late = all.filter((item) => item.slackMs < 0)
      .sort((a, b) => a.entry.job.promptTokens - b.entry.job.promptTokens);
    const present = [...inTime, ...late];
    const ordered = policy?.order(present.map(({ entry }) => entry), waiting);
    if (ordered === undefined) return present;
    const byEntry = new Map(present.map((item) => [item.entry, item]));
    return ordered.flatMap((entry) => byEntry.get(entry) ?? []);
  };

  const shouldDispatch = (
    { entry, slackMs, deadlineSlackMs, minPrefillMs }: WaitingPrompt,
    choice: EngineChoice,
    hasOnTimeAhead: boolean,
  ): boolean => {
    if (isReady(choice)) return true;
    if (policy?.mustYield(entry.job)) return false;
    if (choice.expectedMs > remainingMs(entry)) return false;
    const weight = computeWeight(entry.job);
    const isDeadlineClose = deadlineSlackMs <= DEADLINE_MARGIN_MS + minPrefillMs;
    if (isDeadlineClose) return choice.delayCost <= URGENT_MAX_DELAY_COST_SHARE * weight;
    const latenessCost = LATE_COST_SHARE * weight;
    if (slackMs >= 0) {
      return slackMs <= DISPATCH_SLACK_MS && choice.isOnTime && choice.delayCost < latenessCost;
    }
    // Under load, the engines that may be taken need several times the shortest time. The prompt must
    // not wait any longer then, but short prompts must not become late for it either.
    const isChoiceDue = remainingMs(entry) <= DEADLINE_MARGIN_MS + choice.expectedMs;
    if (isChoiceDue) return choice.delayCost <= LATE_MAX_DELAY_COST_SHARE * weight;
    const maxPartMs = Math.max(
      LATE_PART_MAX_MS,
      LATE_PART_MAX_FACTOR * minPrefillMs,
      LATE_PART_DEADLINE_SHARE * deadlineSlackMs,
    );
    return !hasOnTimeAhead && choice.backlogMs <= READY_MAX_BACKLOG_MS &&
      choice.partMs <= maxPartMs &&
      choice.delayCost <= LATE_MAX_DELAY_COST_SHARE * weight;
  };

  /** Refuses the prompts that can no longer be answered; returns the others in their order. */
  const refuseUnservable = (sorted: readonly WaitingPrompt[]): WaitingPrompt[] => {
    const backlogs = new Map<string, Millis>();
    let aheadMs = 0;
    return sorted.filter(({ entry, minPrefillMs, deadlineSlackMs }) => {
      const { service } = entry.job;
      const backlogMs = backlogs.get(service) ?? callbacks.backlogMs(entry.job);
      backlogs.set(service, backlogMs);
      const precedingMs = aheadMs + backlogMs;
      if (deadlineSlackMs < precedingMs) {
        settle(entry, callbacks.refuse(currentJob(entry), precedingMs, "late"));
        return false;
      }
      aheadMs += minPrefillMs;
      return true;
    });
  };

  /**
   * Moves the prompts that an earlier review did not get to ahead of the others, except for the first
   * ones, so that each prompt is tried every few reviews.
   */
  const rotate = (servable: readonly WaitingPrompt[]): WaitingPrompt[] => {
    const first = servable.slice(0, FIRST_TRIES);
    const rest = servable.slice(FIRST_TRIES);
    const start = rest.length === 0 ? 0 : nextStart % rest.length;
    return [...first, ...rest.slice(start), ...rest.slice(0, start)];
  };

  return {
    isReady,
    hasRoom: () => waiting.size() < MAX_QUEUED_PROMPTS,
    add: waiting.add,
    cancel(jobId) {
      const entry = waiting.find(jobId);
      if (entry === undefined) return false;
      settle(entry, callbacks.refuse(currentJob(entry), 0, "cancelled"));
      return true;
    },
    makeRoom(job) {
      const ordered = sortByPriority(describeWaiting());
      const displaced = policy?.chooseDisplaced(ordered.map(({ entry }) => entry), job);
      if (displaced === undefined) return false;
      const aheadMs = callbacks.backlogMs(displaced.job) + ordered
        .slice(0, ordered.findIndex(({ entry }) => entry === displaced))
        .reduce((sum, { minPrefillMs }) => sum + minPrefillMs, 0);
      settle(displaced, callbacks.refuse(currentJob(displaced), aheadMs, "displaced"));
      return true;
    },
    dispatchReady() {
      if (waiting.size() === 0) return;
      const servable = refuseUnservable(sortByPriority(describeWaiting()));
      let hasOnTimeAhead = false;
      let vainTries = 0;
      for (const item of rotate(servable)) {
        if (vainTries >= MAX_LONG_VAIN_TRIES) break;
        const { entry } = item;
        const choice = callbacks.choose(entry.job, waitedMs(entry), remainingMs(entry));
        if (choice !== undefined && shouldDispatch(item, choice, hasOnTimeAhead)) {
          settle(entry, callbacks.dispatch(currentJob(entry), choice));
          continue;
        }
        vainTries += 1;
        if (item.slackMs >= 0) hasOnTimeAhead = true;
      }
      nextStart += MAX_LONG_VAIN_TRIES - FIRST_TRIES;
    },
    size: waiting.size,
  };
}
