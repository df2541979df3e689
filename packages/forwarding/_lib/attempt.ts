import type { Millis } from "@jaypass/kernel";
import type { JobOutcome, PlacementDecision, PlacementJob } from "@jaypass/placement";
import type { Failure } from "../errors.ts";
import type { Exchange, ServerAnswer } from "../open_exchange.ts";
import type { AnswerMetadata } from "../types.ts";
import type { ForwardingServer } from "./request_context.ts";

/** What the use of an answer came to. */
export interface AttemptResult {
  /** How the exchange ended. */
  outcome: JobOutcome;
  /** True when the caller has its answer, whole or broken off for good. */
  isDone: boolean;
  /** Why the caller gets a failure if no other server answers. */
  failure: Failure;
  /** Delivers the server's own failure, if no other server answers. */
  deliver?: () => void;
  /** Times of a stream, for the log. */
  timing?: StreamTiming;
}

/** When the events of a stream came from its server. */
export interface StreamTiming {
  /** Milliseconds from the caller's request to the first event of this server. */
  firstEventMs: Millis;
  /** Longest pause between two events. */
  longestPauseMs: Millis;
}

/** A server's answer whose head has come, with what is needed to use it. */
export interface ReceivedAnswer {
  /** Head and body. */
  answer: ServerAnswer;
  /** What its headers state. */
  metadata: AnswerMetadata;
  /** The exchange, to cancel it. */
  exchange: Exchange;
  /** To be called at the first byte of the body. */
  onFirstByte: () => void;
}

/** How an answer is used, and from where a stream goes on. */
export interface AnswerHandler {
  /** Uses an answer that a server made. */
  handle(answer: ReceivedAnswer): Promise<AttemptResult>;
  /** Event after which the next server goes on; undefined before the first event. */
  resumeAfter(): number | undefined;
}

/** State of one request over its attempts. */
export interface AttemptState {
  sends: number;
  connectFailures: number;
  mayHaveRun: boolean;
  excludedIds: string[];
  last: AttemptResult | undefined;
}

/** One send of a request to a server. */
export interface Attempt {
  job: PlacementJob;
  decision: PlacementDecision & { kind: "placed" };
  server: ForwardingServer;
  state: AttemptState;
  handler: AnswerHandler;
}
