import type { HubScheduler } from "@jaypass/fleet";
import type { ServerInstance } from "@jaypass/forwarding";
import { JOB_OUTCOME, PLACEMENT_REFUSAL } from "@jaypass/placement";
import type {
  JobOutcome,
  PlacementDecision,
  PlacementJob,
  Placer,
  RunningJob,
} from "@jaypass/placement";

/** Report of a host to its hubs on the progress of a request, or on a server that leaves. */
export type JobReport =
  | { kind: "running"; running: RunningJob }
  | { kind: "started"; jobId: string }
  | { kind: "finished"; jobId: string; outcome: JobOutcome; faultyServerId?: string }
  | { kind: "leaving"; serverId: string; bornMs: number };

/** Options of {@linkcode createHubScheduler}. */
export interface HubSchedulerOptions {
  /** Calls a function once what has reached the process is read. */
  afterRead: (run: () => void) => void;
}

/**
 * Creates the scheduler of a hub, which places the requests of all members and tracks them by host.
 *
 * While a server is cold, reports that have arrived are read before a request is placed. Members whose
 * requests were not placed in time have turned to another hub and report what it has placed.
 *
 * @param placer places requests within the undivided limits of all hosts
 * @param options the event loop
 * @returns the scheduler
 *
 * @example
 * const scheduler = createHubScheduler(placer, { afterRead: runAfterRead });
 */
export function createHubScheduler(
  placer: Placer,
  { afterRead }: HubSchedulerOptions,
): HubScheduler<PlacementJob, PlacementDecision, JobReport> {
  /** Ends the placements that wait until reports are read, by host and job. */
  const unread = new Map<string, (decision: PlacementDecision) => void>();
  // Two hosts may get a request with the same id of their caller.
  const toKey = (host: string, jobId: string) => `${host} ${jobId}`;
  const cancelUnread = (key: string) => {
    unread.get(key)?.({
      kind: "refused",
      reason: PLACEMENT_REFUSAL.UNSERVABLE,
      retryAfterMs: 0,
    });
    unread.delete(key);
  };
  const placeAfterRead = (
    key: string,
    place: () => PlacementDecision | Promise<PlacementDecision>,
  ) =>
    new Promise<PlacementDecision>((resolve, reject) => {
      cancelUnread(key);
      unread.set(key, resolve);
      afterRead(() => {
        if (unread.get(key) !== resolve) return;
        unread.delete(key);
        Promise.resolve().then(place).then(resolve, reject);
      });
    });
  const jobsByHost = new Map<string, Set<string>>();
  const jobsOf = (host: string) => {
    const known = jobsByHost.get(host);
    if (known !== undefined) return known;
    const jobs = new Set<string>();
    jobsByHost.set(host, jobs);
    return jobs;
  };
  const untrackIfRefused = (host: string, job: PlacementJob, decision: PlacementDecision) => {
    if (decision.kind === "refused") jobsOf(host).delete(job.id);
    return decision;
  };
  return {
    place(host, job) {
      // Also tracks queued jobs, which must leave the queue when the link to their host ends.
      jobsOf(host).add(job.id);
      const placeNow = () => {
        const decision = placer.place(job);
        return decision instanceof Promise
          ? decision.then((settled) => untrackIfRefused(host, job, settled))
          : untrackIfRefused(host, job, decision);
      };
      return placer.hasColdServers() ? placeAfterRead(toKey(host, job.id), placeNow) : placeNow();
    },
    report(host, report) {
      if (report.kind === "running") {
        cancelUnread(toKey(host, report.running.job.id));
        jobsOf(host).add(report.running.job.id);
        placer.addRunning(report.running);
      } else if (report.kind === "started") placer.started(report.jobId);
      else if (report.kind === "leaving") placer.markLeaving(report.serverId, report.bornMs);
      else {
        cancelUnread(toKey(host, report.jobId));
        jobsOf(host).delete(report.jobId);
        placer.finished(report.jobId, report.outcome, report.faultyServerId);
      }
    },
    forget(host) {
      for (const jobId of jobsOf(host)) {
        cancelUnread(toKey(host, jobId));
        placer.finished(jobId, JOB_OUTCOME.CANCELLED);
      }
      jobsByHost.delete(host);
    },
  };
}

/** Creates the report that a server has stated that it leaves. */
export function createLeavingReport(server: ServerInstance): JobReport {
  return { kind: "leaving", serverId: server.id, bornMs: server.bornMs };
}
