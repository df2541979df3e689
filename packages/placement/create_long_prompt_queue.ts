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

/** What the line needs to know of a prompt that may wait. */
export interface LongPromptQueueCallbacks {
  /** The best choice of engines now; undefined when no engines have the memory. */
  choose(job: PlacementJob, waitedMs: Millis, leftMs: Millis): EngineChoice | undefined;
  /** Milliseconds in which all engines together would read the prompt if they were idle. */
  minPrefillMs(job: PlacementJob): Millis;
  /** Milliseconds in which all engines together would end the reads that they have. */
  backlogMs(job: PlacementJob): Millis;
  /** Sends the job to the engines of a choice. */
  dispatch(job: PlacementJob, choice: EngineChoice): PlacementDecision;
  /** Refuses a job that can no longer be answered in time; it may come back after some time. */
  refuse(job: PlacementJob, retryAfterMs: Millis): PlacementDecision;
}

/** Long prompts that wait for quiet engines. */
export interface LongPromptQueue {
  /** True when the prompt should be sent at once with this choice. */
  isReady(choice: EngineChoice): boolean;
  /** True while another prompt may wait. */
  hasRoom(): boolean;
  /** Lets a prompt wait; settles when it is sent, refused or cancelled. */
  add(job: PlacementJob): Promise<PlacementDecision>;
  /** Takes a prompt out, since its caller left; false when it does not wait. */
  cancel(jobId: string): boolean;
  /** Sends every prompt whose time has come. */
  dispatchReady(): void;
  /** Prompts that wait. */
  size(): number;
}

/**
 * Creates the line of long prompts.
 *
 * The load it answers: more long prompts than the engines read in time. Without a line they queue
 * on all engines, where each of them becomes late and short prompts wait behind them. Here a prompt
 * leaves the line when quiet engines can read it in time; one that can still be in time goes before
 * one that is late already, and a late one goes when engines are idle or its deadline presses. A
 * prompt that could not be read before its deadline even if all engines did nothing but read it and
 * what goes before it is refused at once.
 *
 * @param view engines and what can be done with a prompt
 * @param clock monotonic time source
 * @returns the line, empty
 *
 * @example
 * const line = createWaitingLine(view, clock);
 * const decision = await line.add(job);
 */
export function createLongPromptQueue(
  view: LongPromptQueueCallbacks,
  clock: Clock,
): LongPromptQueue {
  const waiting = createWaitingJobs(clock);
  const { waitedMs, remainingMs: leftMs, currentJob: present, settle: leave } = waiting;

  const slackMs = (entry: WaitingJob) =>
    entry.job.goalMs - waitedMs(entry) - view.minPrefillMs(entry.job);
  const deadlineSlackMs = (entry: WaitingJob) => leftMs(entry) - view.minPrefillMs(entry.job);

  const isReady = (choice: EngineChoice) =>
    choice.delayCost === 0 && choice.isOnTime && choice.backlogMs <= READY_MAX_BACKLOG_MS;

  /** Those that can be in time by urgency, then the late ones, the smallest first. */
  const inOrder = () => {
    const all = waiting.list().map((entry) => ({ entry, slackMs: slackMs(entry) }));
    const inTime = all.filter((item) => item.slackMs >= 0).sort((a, b) => a.slackMs - b.slackMs);
    const late = all.filter((item) => item.slackMs < 0)
      .sort((a, b) => a.entry.job.promptTokens - b.entry.job.promptTokens);
    return [...inTime, ...late];
  };

  const shouldSend = (
    { entry, slackMs }: { entry: WaitingJob; slackMs: Millis },
    choice: EngineChoice,
    isOvertaken: boolean,
  ): boolean => {
    if (isReady(choice)) return true;
    if (choice.expectedMs > leftMs(entry)) return false;
    const weight = computeWeight(entry.job);
    const isPressing = deadlineSlackMs(entry) <= DEADLINE_MARGIN_MS + view.minPrefillMs(entry.job);
    if (isPressing) return choice.delayCost <= URGENT_MAX_DELAY_COST_SHARE * weight;
    const gain = LATE_COST_SHARE * weight;
    if (slackMs >= 0) {
      return slackMs <= DISPATCH_SLACK_MS && choice.isOnTime && choice.delayCost < gain;
    }
    const longestPartMs = Math.max(
      LATE_PART_MAX_MS,
      LATE_PART_MAX_FACTOR * view.minPrefillMs(entry.job),
      LATE_PART_DEADLINE_SHARE * deadlineSlackMs(entry),
    );
    return !isOvertaken && choice.backlogMs <= READY_MAX_BACKLOG_MS &&
      choice.partMs <= longestPartMs &&
      choice.delayCost <= LATE_MAX_DELAY_COST_SHARE * weight;
  };

  return {
    isReady,
    hasRoom: () => waiting.size() < MAX_QUEUED_PROMPTS,
    add: waiting.add,
    cancel(jobId) {
      const entry = waiting.find(jobId);
      if (entry === undefined) return false;
      leave(entry, view.refuse(present(entry), 0));
      return true;
    },
    dispatchReady() {
      let isOvertaken = false;
      let aheadMs = 0;
      for (const item of inOrder()) {
        const { entry } = item;
        const beforeMs = aheadMs + view.backlogMs(entry.job);
        if (deadlineSlackMs(entry) < beforeMs) {
          leave(entry, view.refuse(present(entry), beforeMs));
          continue;
        }
        aheadMs += view.minPrefillMs(entry.job);
        const choice = view.choose(entry.job, waitedMs(entry), leftMs(entry));
        if (choice !== undefined && shouldSend(item, choice, isOvertaken)) {
          leave(entry, view.dispatch(present(entry), choice));
        } else if (item.slackMs >= 0) isOvertaken = true;
      }
    },
    size: waiting.size,
  };
}
