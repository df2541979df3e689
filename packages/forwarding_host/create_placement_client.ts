import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import type { Fleet } from "@jaypass/fleet";
import type { PlacementClient } from "@jaypass/forwarding";
import { JOB_OUTCOME } from "@jaypass/placement";
import type { PlacementDecision, PlacementJob, Placer, RunningJob } from "@jaypass/placement";
import { PLACEMENT_TIMEOUT_MS } from "./constants.ts";
import type { JobReport } from "./create_hub_scheduler.ts";

/** Options of {@linkcode createPlacementClient}. */
export interface PlacementClientOptions {
  /** The hosts together. */
  fleet: () => Pick<Fleet<PlacementJob, PlacementDecision, JobReport>, "place" | "report">;
  /** Places with what this host alone knows, and with its share of the common limits. */
  local: Placer;
  /** Monotonic time source. */
  clock: Clock;
  /** Asks the engines for their load. */
  refreshLoad: () => Promise<void>;
  /** Log of placements without a hub. */
  log: Logger;
  /** Counters. */
  metrics: Metrics;
}

/** Placement of a host's requests, with the list of those that run. */
export interface HostPlacement extends PlacementClient {
  /** Reports on all requests that run here. */
  currentReports(): JobReport[];
}

/**
 * Creates the placement of a host's requests: at a hub, or here when no hub answers.
 *
 * @param options fleet and local placer
 * @returns the placement
 *
 * @example
 * const placement = createPlacementClient({ fleet: () => fleet, local, clock, ... });
 */
export function createPlacementClient(options: PlacementClientOptions): HostPlacement {
  const { fleet, local, clock, refreshLoad, log, metrics } = options;
  const running = new Map<string, RunningJob & { placedMs: Millis }>();

  /** A job as a hub needs it that has not placed it. */
  const present = ({ placedMs, ...entry }: RunningJob & { placedMs: Millis }): RunningJob => ({
    ...entry,
    ageMs: clock.nowMs() - placedMs,
  });

  const remember = (job: PlacementJob, decision: PlacementDecision, decidedBy?: string) => {
    if (decision.kind !== "placed") return;
    const { serverId, helperIds, tickets, partMs } = decision;
    const entry: RunningJob = {
      job,
      serverId,
      helperIds,
      tickets,
      partMs,
      ageMs: 0,
      isWriting: false,
    };
    running.set(job.id, { ...entry, placedMs: clock.nowMs() });
    if (decidedBy !== undefined) local.addRunning(entry);
    fleet().report({ kind: "running", running: entry }, { except: decidedBy });
  };

  return {
    async place(job) {
      const answer = await fleet().place(job, {
        answerMs: PLACEMENT_TIMEOUT_MS,
        waitMs: job.remainingMs,
      });
      if (answer === undefined) {
        metrics.increment("placement", { by: "host" });
        log.info({ jobId: job.id }, "Placing without a hub");
        if (job.promptTokens > 0) await refreshLoad();
      } else metrics.increment("placement", { by: "hub" });
      const decision = answer?.decision ?? await local.place(job);
      remember(job, decision, answer?.by);
      return decision;
    },
    cancel: (jobId) => fleet().report(describeCancelledJob({ id: jobId })),
    started(jobId) {
      const entry = running.get(jobId);
      if (entry === undefined || entry.isWriting) return;
      entry.isWriting = true;
      local.started(jobId);
      fleet().report({ kind: "started", jobId });
    },
    finished(jobId, outcome, faultyServerId) {
      if (!running.delete(jobId)) return;
      local.finished(jobId, outcome, faultyServerId);
      fleet().report({ kind: "finished", jobId, outcome, faultyServerId });
    },
    currentReports: () =>
      [...running.values()].map((entry) => ({ kind: "running", running: present(entry) })),
  };
}

/** Describes the end of a job that its host gave up or places elsewhere. */
export function describeCancelledJob({ id }: Pick<PlacementJob, "id">): JobReport {
  return { kind: "finished", jobId: id, outcome: JOB_OUTCOME.CANCELLED };
}
