import type { Millis } from "@jaypass/kernel";
import { JOB_OUTCOME } from "@jaypass/placement";
import type { JobOutcome, PlacementDecision, PlacementJob } from "@jaypass/placement";
import { FAILURE } from "../errors.ts";
import type { Failure } from "../errors.ts";
import type { HedgeGrant } from "../create_hedge_budget.ts";
import type { ServerAnswer } from "../open_exchange.ts";
import type { AnswerMetadata } from "../types.ts";
import type { ConcurrentRuns, Run } from "./create_concurrent_runs.ts";
import type { RunTrace } from "./create_run_trace.ts";
import type { ForwardingServer } from "./request_context.ts";

/** Result of sending a request to one server. */
export interface AttemptResult {
  /** How the exchange with the server ended. */
  outcome: JobOutcome;
  /** True if the caller got its final answer, so that no other server is tried. */
  isDone: boolean;
  /** Failure that is reported to the caller if no other server answers. */
  failure: Failure;
  /** Sends the server's own error answer to the caller; called if no other server answers. */
  deliver?: () => void;
  /** Timing of a stream, for the log. */
  timing?: StreamTiming;
}

/** Result of a run that was dropped, since another one has continued the answer. */
export const DROPPED: AttemptResult = {
  outcome: JOB_OUTCOME.CANCELLED,
  isDone: false,
  failure: FAILURE.SERVER_SILENT,
};

/** Timing of the chunks that a stream's server sent. */
export interface StreamTiming {
  /** Time from the arrival of the caller's request to the first chunk from this server. */
  firstEventMs: Millis;
  /** Longest pause between two chunks. */
  longestPauseMs: Millis;
}

/** A server's answer whose head has arrived and whose body is still to be read. */
export interface ReceivedAnswer {
  /** Head and body of the answer. */
  answer: ServerAnswer;
  /** Metadata from the headers of the answer. */
  metadata: AnswerMetadata;
  /** Must be called for each chunk of the body. */
  onChunk: () => void;
  /** Must be called when the body has not gone on for so long that another server may be better. */
  onStalled: () => void;
  /** Time without data after which that is so, in milliseconds; 0 for never. */
  stallTimeoutMs: () => Millis;
  /** The run that the answer belongs to; it must claim the caller's answer before it writes. */
  run: Pick<Run, "claim" | "isActive" | "hasOther">;
}

/** Passes answers of servers on to the caller, over all attempts of one request. */
export interface AnswerHandler {
  /** Passes on the answer of a server, or reports why it cannot be passed on. */
  handle(answer: ReceivedAnswer): Promise<AttemptResult>;
  /** Id of the event after which the next server must resume; undefined before the first one. */
  resumeAfter(): number | undefined;
  /** False once the caller has a part of an answer that no other server can continue. */
  canContinue(): boolean;
}

/** State of one request over all its attempts. */
export interface AttemptState {
  sendCount: number;
  /** Sends to servers whose process has ended since; they do not count as attempts. */
  lostCount: number;
  connectFailureCount: number;
  /** Placements that were given up because a chosen server wants no requests. */
  diversionCount: number;
  mayHaveRun: boolean;
  /** Servers that have the request and have not answered it. */
  inFlightCount: number;
  excludedIds: string[];
  /** Times of all runs, in the order of their placement. */
  traces: RunTrace[];
  /** Result of the last attempt. */
  last: AttemptResult | undefined;
}

/** One attempt to have a request answered by a server. */
export interface Attempt {
  job: PlacementJob;
  decision: PlacementDecision & { kind: "placed" };
  server: ForwardingServer;
  state: AttemptState;
  handler: AnswerHandler;
  /** Part of the hedge budget that the attempt has taken; undefined if it is no hedge. */
  hedge?: HedgeGrant;
}

/** An attempt beside which another one may be started. */
export interface RunningAttempt extends Attempt {
  run: Run;
  runs: ConcurrentRuns;
  /** Times of the run, for the log. */
  trace: RunTrace;
  /** Called with the placement on another server that was found while this one was silent. */
  onSuccessor: (successor: Pick<Attempt, "job" | "decision" | "hedge">) => void;
}
