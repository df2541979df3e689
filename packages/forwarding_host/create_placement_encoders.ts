import type { MessageEncoders } from "@jaypass/fleet";
import type { Millis } from "@jaypass/kernel";
import type { PlacementDecision, PlacementJob, RunningJob } from "@jaypass/placement";
import type { JobReport } from "./create_hub_scheduler.ts";

/** Digits per millisecond in messages; a message itself takes longer than the rest. */
const STEPS_PER_MS = 10;

/**
 * Creates the encoders of jobs, decisions and reports for other hosts. They leave out what the parsers
 * of all releases read in the same way if it is missing: false, and empty lists of parts and tickets.
 *
 * @returns the encoders
 *
 * @example
 * const { encodeJob } = createPlacementEncoders();
 * JSON.stringify({ type: "place", call, job: encodeJob(job) });
 */
export function createPlacementEncoders(): MessageEncoders<
  PlacementJob,
  PlacementDecision,
  JobReport
> {
  return { encodeJob, encodeDecision, encodeReport };
}

function encodeJob(job: PlacementJob): object {
  return {
    ...job,
    goalMs: round(job.goalMs),
    remainingMs: round(job.remainingMs),
    wholeWithinMs: round(job.wholeWithinMs),
    elapsedMs: round(job.elapsedMs),
    // JSON leaves out undefined fields.
    isRetry: job.isRetry || undefined,
    isContinuation: job.isContinuation || undefined,
    isRepeatable: job.isRepeatable || undefined,
    parts: job.parts.length > 0 ? job.parts : undefined,
  };
}

function encodeDecision(decision: PlacementDecision): object {
  if (decision.kind === "refused") {
    return { ...decision, retryAfterMs: round(decision.retryAfterMs) };
  }
  return { ...encodePlaces(decision), expectedMs: round(decision.expectedMs) };
}

function encodeReport(report: JobReport): object {
  return report.kind === "running" ? { ...report, running: encodeRunning(report.running) } : report;
}

/** Encodes a job that has its server, for which placement reads neither exclusions nor the whole time. */
function encodeRunning(running: RunningJob): object {
  return {
    ...encodePlaces(running),
    job: encodeJob({ ...running.job, excludedIds: [], wholeWithinMs: 0 }),
    ageMs: round(running.ageMs),
    isWriting: running.isWriting || undefined,
  };
}

function encodePlaces<T extends Pick<RunningJob, "tickets" | "partMs">>(places: T): object {
  const { tickets, partMs } = places;
  return {
    ...places,
    tickets: tickets.length > 0 ? tickets : undefined,
    partMs: round(partMs),
  };
}

function round(ms: Millis): Millis {
  return Math.round(ms * STEPS_PER_MS) / STEPS_PER_MS;
}
