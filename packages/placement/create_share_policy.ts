import type { Clock, Millis } from "@jaypass/kernel";
import type { WaitingJob, WaitingJobs } from "./_lib/create_waiting_jobs.ts";
import { chooseDisplacedJob } from "./choose_displaced_job.ts";
import { computeEngineMs } from "./compute_engine_ms.ts";
import { computeRetryAfter } from "./compute_retry_after.ts";
import { NO_SERVER_RETRY_AFTER_MS, UNSERVABLE_MIN_SLOTS_SHARE } from "./constants.ts";
import { createDrainRate } from "./create_drain_rate.ts";
import { createRefusalRegister } from "./create_refusal_register.ts";
import type { CallerReturn } from "./create_refusal_register.ts";
import { createWorkspaceUsage } from "./create_workspace_usage.ts";
import { findUnservableJobs } from "./find_unservable_jobs.ts";
import type { ReviewedPrompt } from "./find_unservable_jobs.ts";
import { createServedShares } from "./create_served_shares.ts";
import { compareUrgency, nameWorkspace, orderWaitingJobs } from "./order_waiting_jobs.ts";
import type { RefusalCause, ShareEvent, ShareRecord } from "./placer_types.ts";
import { PLACEMENT_REFUSAL } from "./types.ts";
import type { EngineProfile, PlacementJob, PlacementRefusal } from "./types.ts";

/** Options of {@linkcode createSharePolicy}. */
export interface SharePolicyOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Reports whether the policy applies to a service. */
  isPrioritized: (service: string) => boolean;
  /** Returns the cost model of a service. */
  profileOf: (service: string) => EngineProfile | undefined;
  /** Returns the share of the slots of the servers that a job may get that are in use. */
  usedSlotsShare: (job: PlacementJob) => number;
  /** Called with each event, for the metrics. */
  onEvent?: (event: ShareEvent, job: PlacementJob) => void;
}

/** Times of the jobs of a queue, as {@linkcode WaitingJobs} returns them. */
export type QueueTimes = Pick<WaitingJobs, "waitedMs" | "remainingMs">;

/** Shares, priorities and early refusals of the prioritized services. Others are not affected. */
export interface SharePolicy {
  /** Name under which the retries of a job count; undefined for services without priorities. */
  retryWorkspace(job: PlacementJob): string | undefined;
  /** Notes the arrival of a job; returns how its caller came back, if it did. */
  arrived(job: PlacementJob): CallerReturn | undefined;
  /** Counts the work of a job that was placed `ageMs` ago, by this placer or another one. */
  placed(job: PlacementJob, ageMs?: Millis): void;
  /** Counts the work of a job that has ended. */
  ended(job: PlacementJob): void;
  /** Notes a refusal; returns the delay that its caller is told. */
  refused(
    job: PlacementJob,
    refusal: { reason: PlacementRefusal; retryAfterMs: Millis; cause?: RefusalCause },
  ): Millis;
  /** Sorts the waiting jobs of prioritized services among the places that they have in a queue. */
  order(entries: readonly WaitingJob[], times: QueueTimes): WaitingJob[];
  /** Reviews the ordered entries of the slot queue; the result lacks those of other services. */
  review(
    ordered: readonly WaitingJob[],
    times: QueueTimes & { expectedMs(job: PlacementJob): Millis },
  ): Map<WaitingJob, ReviewedPrompt>;
  /**
   * Reports whether a long prompt leaves the engines to more urgent prompts that wait for slots, because
   * its priority is served more often than theirs.
   */
  mustYield(job: PlacementJob): boolean;
  /** Returns the time in which the engines of a service do some work; undefined if not known. */
  drainMs(service: string, workMs: Millis | undefined): Millis | undefined;
  /** Chooses the entry that gives way to a new job in a full queue. */
  chooseDisplaced(ordered: readonly WaitingJob[], job: PlacementJob): WaitingJob | undefined;
  /** Describes the shares for the log; undefined for services without priorities. */
  describe(job: PlacementJob): ShareRecord | undefined;
}

/**
 * Creates the policy of shares and priorities, and its state.
 *
 * @param options clock, services and load
 * @returns a policy without recorded work
 *
 * @example
 * const shares = createSharePolicy({ clock, isPrioritized, profileOf, usedSlotsShare });
 * shares.placed(job);
 */
export function createSharePolicy(options: SharePolicyOptions): SharePolicy {
  const { clock, isPrioritized, profileOf, usedSlotsShare, onEvent = () => {} } = options;
  const usage = createWorkspaceUsage(clock);
  const refusals = createRefusalRegister(clock);
  const drain = createDrainRate(clock);
  const served = createServedShares(clock);
  /** Most urgent job that waits for a slot, by service. */
  let mostUrgent = new Map<string, PlacementJob>();
  let waitingWorkspaces = new Map<string, ReadonlySet<string>>();

  const engineMsOf = (job: PlacementJob): Millis => {
    const profile = profileOf(job.service);
    return profile === undefined ? 0 : computeEngineMs(job, profile);
  };

  /** Groups the entries of prioritized services by service. */
  const group = (entries: readonly WaitingJob[]) => {
    const groups = new Map<string, WaitingJob[]>();
    for (const entry of entries) {
      const { service } = entry.job;
      if (!groups.has(service)) groups.set(service, []);
      groups.get(service)?.push(entry);
    }
    return new Map([...groups].filter(([service]) => isPrioritized(service)));
  };

  const ratePerMs = (job: PlacementJob) =>
    usedSlotsShare(job) < UNSERVABLE_MIN_SLOTS_SHARE ? undefined : drain.ratePerMs(job.service);

  const shareMs = (service: string) =>
    usage.shareMs(service, waitingWorkspaces.get(service) ?? new Set());

  const isAboveShare = (job: PlacementJob) => {
    const usedMs = usage.usedMs(job.service, nameWorkspace(job));
    return usedMs > 0 && usedMs >= shareMs(job.service);
  };

  const describe = (job: PlacementJob): ShareRecord | undefined => {
    const { service, workspace, priority = 0, routePriority = 0 } = job;
    if (!isPrioritized(service)) return undefined;
    return {
      workspace,
      priority,
      routePriority,
      workspaceMs: Math.round(usage.usedMs(service, nameWorkspace(job))),
      shareMs: Math.round(shareMs(service)),
    };
  };

  return {
    retryWorkspace: (job) => isPrioritized(job.service) ? nameWorkspace(job) : undefined,
    arrived(job) {
      // A second try of a host is no return of its caller.
      if (!isPrioritized(job.service) || job.isRetry) return undefined;
      const returned = refusals.find(job);
      if (returned !== undefined) {
        onEvent(returned.isEarly ? "returned_early" : "returned_in_time", job);
      }
      return returned;
    },
    placed(job, ageMs) {
      const { service } = job;
      if (!isPrioritized(service)) return;
      // Another placer counts what it has placed.
      if (ageMs === undefined) {
        onEvent(isAboveShare(job) ? "placed_above_share" : "placed_below_share", job);
        if (!job.isRetry) served.count(job, true);
      }
      usage.add(service, nameWorkspace(job), engineMsOf(job), ageMs);
      refusals.forget(job);
    },
    ended: (job) => drain.ended(job.service, engineMsOf(job)),
    refused(job, { reason, retryAfterMs, cause }) {
      if (!isPrioritized(job.service) || cause === "cancelled") return retryAfterMs;
      if (cause !== undefined) onEvent(`refused_${cause}`, job);
      const toldMs = reason === PLACEMENT_REFUSAL.UNSERVABLE
        ? computeRetryAfter(job, Math.max(NO_SERVER_RETRY_AFTER_MS, retryAfterMs))
        : retryAfterMs;
      if (job.isRetry || reason === PLACEMENT_REFUSAL.QUARANTINED) return toldMs;
      if (refusals.find(job)?.isEarly !== true) served.count(job, false);
      refusals.record(job, toldMs);
      return toldMs;
    },
    order(entries, { waitedMs }) {
      const sorted = new Map([...group(entries)].map(([service, items]) =>
        [
          service,
          orderWaitingJobs(items, (entry) => ({
            job: entry.job,
            waitedMs: waitedMs(entry),
            engineMs: engineMsOf(entry.job),
            returned: entry.returned,
          }), {
            usedMs: (workspace) => usage.usedMs(service, workspace),
            shareMs: (waiting) => usage.shareMs(service, waiting),
          })[Symbol.iterator](),
        ] as const
      ));
      return entries.map((entry): WaitingJob =>
        sorted.get(entry.job.service)?.next().value ?? entry
      );
    },
    review(ordered, { remainingMs, expectedMs }) {
      const groups = group(ordered);
      drain.setWaiting(new Set(groups.keys()));
      waitingWorkspaces = new Map(
        [...groups].map(([service, entries]) =>
          [service, new Set(entries.map(({ job }) => nameWorkspace(job)))] as const
        ),
      );
      mostUrgent = new Map(
        [...groups].map(([service, entries]) =>
          [
            service,
            entries.map(({ job }) => job).reduce((a, b) => compareUrgency(b, a) < 0 ? b : a),
          ] as const
        ),
      );
      return new Map([...groups.values()].flatMap((entries) => {
        const rate = entries[0] === undefined ? undefined : ratePerMs(entries[0].job);
        return [...findUnservableJobs(entries, (entry) => ({
          engineMs: engineMsOf(entry.job),
          expectedMs: expectedMs(entry.job),
          remainingMs: remainingMs(entry),
        }), rate)];
      }));
    },
    mustYield(job) {
      const urgent = mostUrgent.get(job.service);
      return isPrioritized(job.service) && urgent !== undefined &&
        compareUrgency(urgent, job) < 0 && served.isServedMoreThanUrgent(job);
    },
    drainMs(service, workMs) {
      const rate = drain.ratePerMs(service);
      return rate === undefined || workMs === undefined ? undefined : workMs / rate;
    },
    chooseDisplaced(ordered, job) {
      if (!isPrioritized(job.service)) return undefined;
      const entries = ordered.filter((entry) => isPrioritized(entry.job.service));
      const displaced = chooseDisplacedJob(entries.map((entry) => entry.job), job);
      return entries.find((entry) => entry.job === displaced);
    },
    describe,
  };
}
