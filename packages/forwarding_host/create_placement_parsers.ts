import type { MessageParsers } from "@jaypass/fleet";
import { createFieldReader, DecodeError } from "@jaypass/kernel";
import type { FieldReader } from "@jaypass/kernel";
import { JOB_OUTCOME, PLACEMENT_REFUSAL } from "@jaypass/placement";
import type {
  JobOutcome,
  PlacementDecision,
  PlacementJob,
  PlacementRefusal,
  RunningJob,
  TicketPlan,
} from "@jaypass/placement";
import type { JobReport } from "./create_hub_scheduler.ts";

const OUTCOMES = new Set<string>(Object.values(JOB_OUTCOME));

const REFUSALS = new Set<string>(Object.values(PLACEMENT_REFUSAL));

/** Range of tokens and times that are not negative; sums of them stay finite. */
const AMOUNT_RANGE = { min: 0, max: Number.MAX_SAFE_INTEGER };

/** Range of factors by which servers are slower than usual. */
const FACTOR_RANGE = { min: 1, max: Number.MAX_SAFE_INTEGER };

/** Range of times, which may have passed, and of priorities. */
const TIME_RANGE = { min: -Number.MAX_SAFE_INTEGER, max: Number.MAX_SAFE_INTEGER };

/**
 * Creates the parsers of jobs, decisions and reports that other hosts send. A wrong value would stay
 * in the load of an engine, so it fails the link instead.
 *
 * @returns the parsers, which throw a `DecodeError` for an invalid value
 *
 * @example
 * const job = createPlacementParsers().parseJob(message.job);
 */
export function createPlacementParsers(): MessageParsers<
  PlacementJob,
  PlacementDecision,
  JobReport
> {
  return { parseJob, parseDecision, parseReport };
}

function parseJob(value: unknown): PlacementJob {
  const fields = createFieldReader(value);
  return {
    id: fields.string("id"),
    service: fields.string("service"),
    promptTokens: fields.number("promptTokens", AMOUNT_RANGE),
    answerTokens: fields.number("answerTokens", AMOUNT_RANGE),
    goalMs: fields.number("goalMs", TIME_RANGE),
    pauseGoalMs: fields.number("pauseGoalMs", TIME_RANGE),
    remainingMs: fields.number("remainingMs", TIME_RANGE),
    wholeWithinMs: fields.number("wholeWithinMs", TIME_RANGE),
    elapsedMs: fields.number("elapsedMs", TIME_RANGE),
    excludedIds: fields.strings("excludedIds"),
    isRetry: fields.boolean("isRetry"),
    // Missing in jobs that are no hedges.
    ...fields.has("isHedge") && { isHedge: fields.boolean("isHedge") },
    isContinuation: fields.boolean("isContinuation"),
    fingerprint: fields.string("fingerprint"),
    // Missing in jobs of an earlier version.
    parts: fields.has("parts") ? fields.strings("parts") : [],
    isRepeatable: fields.boolean("isRepeatable"),
    // Missing for services without priorities, and in jobs of an earlier version.
    ...(fields.has("workspace") && { workspace: fields.string("workspace") }),
    ...(fields.has("priority") && { priority: fields.number("priority", TIME_RANGE) }),
    ...(fields.has("routePriority") && {
      routePriority: fields.number("routePriority", TIME_RANGE),
    }),
    // Missing if the host has no preference.
    ...(fields.has("dataCentre") ? { dataCentre: fields.string("dataCentre") } : {}),
  };
}

function parseDecision(value: unknown): PlacementDecision {
  const fields = createFieldReader(value);
  const kind = fields.string("kind");
  if (kind === "refused") {
    return {
      kind,
      reason: parseName(fields, "reason", REFUSALS) as PlacementRefusal,
      retryAfterMs: fields.number("retryAfterMs", AMOUNT_RANGE),
    };
  }
  if (kind !== "placed") throw new DecodeError("Kind of the decision is unknown");
  return {
    kind,
    ...parsePlaces(fields),
    expectedMs: fields.number("expectedMs", TIME_RANGE),
    // Missing in messages of an earlier version, and in decisions on servers of usual speed.
    ...fields.has("writeFactor") && { writeFactor: fields.number("writeFactor", FACTOR_RANGE) },
  };
}

function parseReport(value: unknown): JobReport {
  const fields = createFieldReader(value);
  const kind = fields.string("kind");
  switch (kind) {
    case "running":
      return { kind, running: parseRunning(createFieldReader(fields.value("running"))) };
    case "started":
      return { kind, jobId: fields.string("jobId") };
    case "leaving":
      return {
        kind,
        serverId: fields.string("serverId"),
        bornMs: fields.number("bornMs", AMOUNT_RANGE),
      };
    case "finished":
      return {
        kind,
        jobId: fields.string("jobId"),
        outcome: parseName(fields, "outcome", OUTCOMES) as JobOutcome,
        faultyServerId: fields.has("faultyServerId") ? fields.string("faultyServerId") : undefined,
      };
    default:
      throw new DecodeError("Kind of the report is unknown");
  }
}

function parseRunning(fields: FieldReader): RunningJob {
  return {
    job: parseJob(fields.value("job")),
    ...parsePlaces(fields),
    ageMs: fields.number("ageMs", TIME_RANGE),
    isWriting: fields.boolean("isWriting"),
  };
}

function parsePlaces(fields: FieldReader) {
  return {
    serverId: fields.string("serverId"),
    helperIds: fields.strings("helperIds"),
    tickets: fields.list("tickets").map(parseTicket),
    partMs: fields.number("partMs", AMOUNT_RANGE),
    // Missing in messages of an earlier version, and in decisions on servers of usual speed.
    ...(fields.has("usualMs") ? { usualMs: fields.number("usualMs", TIME_RANGE) } : {}),
  };
}

function parseTicket(fields: FieldReader): TicketPlan {
  return {
    serverId: fields.string("serverId"),
    tokens: fields.number("tokens", AMOUNT_RANGE),
  };
}

function parseName(fields: FieldReader, name: string, known: ReadonlySet<string>): string {
  const text = fields.string(name);
  if (!known.has(text)) throw new DecodeError(`Field "${name}" has an unknown value`);
  return text;
}
