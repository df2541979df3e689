import type { Clock, Logger, Metrics, Millis } from "@jaypass/kernel";
import type { Fleet } from "@jaypass/fleet";
import type { PlacementClient } from "@jaypass/forwarding";
import { JOB_OUTCOME, PLACEMENT_REFUSAL } from "@jaypass/placement";
import type { PlacementDecision, PlacementJob, Placer, RunningJob } from "@jaypass/placement";
import { ageJob } from "./age_job.ts";
import { LINK_WAIT_GOAL_SHARE, MAX_LINK_WAIT_MS, PLACEMENT_TIMEOUT_MS } from "./constants.ts";
import type { JobReport } from "./create_hub_scheduler.ts";

/** Answers a hedge without a hub: a host alone does not know whether servers have room to spare. */
const HEDGE_REFUSED: PlacementDecision = {
  kind: "refused",
  reason: PLACEMENT_REFUSAL.NO_SPARE_ROOM,
  retryAfterMs: 0,
};

/** Options of {@linkcode createPlacementClient}. */
export interface PlacementClientOptions {
  /** The fleet, through which hubs are reached. */
  fleet: () => Pick<Fleet<PlacementJob, PlacementDecision, JobReport>, "place" | "report">;
  /** Places requests by this host's own knowledge, within its share of the limits of all hosts. */
  local: Placer;
  /** Data centre whose servers are preferred for this host's requests; no preference by default. */
  dataCentre?: string;
  /** Monotonic time source. */
  clock: Clock;
  /** Requests load reports of the engines. */
  refreshLoad: () => Promise<void>;
  /** Log of placements without a hub. */
  log: Logger;
  /** Receives a counter of placements. */
  metrics: Metrics;
}

/** Placement of a host's requests, which also tracks the running ones. */
export interface HostPlacement extends PlacementClient {
  /** Returns a report on each running request of this host. */
  currentReports(): JobReport[];
}

/**
 * Creates the placement of a host's requests, which asks a hub, or decides locally if no hub
 * answers.
 *
 * @param options fleet, local placer and load probe
 * @returns the placement
 *
 * @example
 * const placement = createPlacementClient({ fleet: () => fleet, local, clock, ... });
 */
export function createPlacementClient(options: PlacementClientOptions): HostPlacement {
  const { fleet, local, dataCentre, clock, refreshLoad, log, metrics } = options;
  // Only the placer that decides needs it, not the reports of running jobs.
  const prefer = (job: PlacementJob): PlacementJob =>
    dataCentre === undefined ? job : { ...job, dataCentre };
  const running = new Map<string, RunningJob & { placedMs: Millis }>();

  /** Describes a running job for a hub that did not place it. */
  const toRunningJob = ({ placedMs, ...entry }: RunningJob & { placedMs: Millis }): RunningJob => ({
    ...entry,
    ageMs: clock.nowMs() - placedMs,
  });

  const trackPlacement = (job: PlacementJob, decision: PlacementDecision, decidedBy?: string) => {
    if (decision.kind !== "placed") return;
    const { serverId, helperIds, tickets, partMs, usualMs = decision.expectedMs } = decision;
    const entry: RunningJob = {
      job,
      serverId,
      helperIds,
      tickets,
      partMs,
      usualMs,
      ageMs: 0,
      isWriting: false,
    };
    running.set(job.id, { ...entry, placedMs: clock.nowMs() });
    if (decidedBy !== undefined) local.addRunning(entry);
    fleet().report({ kind: "running", running: entry }, { except: decidedBy });
  };

  return {
    async place(job) {
      const startMs = clock.nowMs();
      const currentJob = () => ageJob(job, clock.nowMs() - startMs);
      const answer = await fleet().place(prefer(job), {
        answerMs: PLACEMENT_TIMEOUT_MS,
        waitMs: job.remainingMs,
        linkMs: job.isHedge ? 0 : computeLinkWaitMs(job),
      });
      if (answer === undefined && job.isHedge) return HEDGE_REFUSED;
      if (answer === undefined) {
        metrics.increment("placement", { by: "host" });
        log.info({ jobId: job.id }, "No hub answered; placing the request locally");
        if (job.promptTokens > 0) await refreshLoad();
      } else metrics.increment("placement", { by: "hub" });
      const decision = answer?.decision ?? await local.place(prefer(currentJob()));
      trackPlacement(currentJob(), decision, answer?.by);
      return decision;
    },
    cancel: (jobId) => fleet().report(createCancelReport({ id: jobId })),
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
      [...running.values()].map((entry) => ({ kind: "running", running: toRunningJob(entry) })),
  };
}

/**
 * Computes how long a job waits for a link to a hub that is being established.
 *
 * After a restart of all hosts, each would otherwise place the first prompts without knowing those of
 * the others, and they would meet on the same engines. Requests of plain services do not wait, because
 * their servers reject what they cannot take.
 */
function computeLinkWaitMs({ promptTokens, goalMs }: PlacementJob): Millis {
  return promptTokens === 0 ? 0 : Math.min(MAX_LINK_WAIT_MS, goalMs * LINK_WAIT_GOAL_SHARE);
}

/** Creates the report that a host cancelled a job or has it placed by another hub. */
export function createCancelReport({ id }: Pick<PlacementJob, "id">): JobReport {
  return { kind: "finished", jobId: id, outcome: JOB_OUTCOME.CANCELLED };
}
