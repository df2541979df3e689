import type { HubScheduler } from "@jaypass/fleet";
import type { ServerInstance } from "@jaypass/forwarding";
import { JOB_OUTCOME } from "@jaypass/placement";
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

/**
 * Creates the scheduler of a hub, which places the requests of all members and tracks them by host.
 *
 * @param placer places requests within the undivided limits of all hosts
 * @returns the scheduler
 *
 * @example
 * const scheduler = createHubScheduler(placer);
 */
export function createHubScheduler(
  placer: Placer,
): HubScheduler<PlacementJob, PlacementDecision, JobReport> {
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
      const decision = placer.place(job);
      if (decision instanceof Promise) {
        return decision.then((settled) => untrackIfRefused(host, job, settled));
      }
      return untrackIfRefused(host, job, decision);
    },
    report(host, report) {
      if (report.kind === "running") {
        jobsOf(host).add(report.running.job.id);
        placer.addRunning(report.running);
      } else if (report.kind === "started") placer.started(report.jobId);
      else if (report.kind === "leaving") placer.markLeaving(report.serverId, report.bornMs);
      else {
        jobsOf(host).delete(report.jobId);
        placer.finished(report.jobId, report.outcome, report.faultyServerId);
      }
    },
    forget(host) {
      for (const jobId of jobsOf(host)) placer.finished(jobId, JOB_OUTCOME.CANCELLED);
      jobsByHost.delete(host);
    },
  };
}

/** Creates the report that a server has stated that it leaves. */
export function createLeavingReport(server: ServerInstance): JobReport {
  return { kind: "leaving", serverId: server.id, bornMs: server.bornMs };
}
