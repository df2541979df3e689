/**
 * Contracts of placement: servers, jobs and decisions.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Cost figures of a model engine, as the operators state them for a service. */
export interface EngineProfile {
  /** Requests that the engine runs at once. */
  slots: number;
  /** Tokens that the engine's memory holds. */
  memoryTokens: number;
  /** Milliseconds of one token step without load. */
  stepMs: Millis;
  /** Milliseconds that each writing request adds to a step. */
  perWriterMs: Millis;
  /** Milliseconds that 1,000 tokens of context of a writer add to a step. */
  contextMsPerThousand: Millis;
  /** Prompt tokens read in a millisecond. */
  readTokensPerMs: number;
  /** Milliseconds for a million pairs of a prompt token and an earlier one. */
  pairMsPerMillion: Millis;
  /** Steps of a pass in which some request writes. */
  stepsPerPass: number;
  /** Most prompt tokens read in a step. */
  chunkTokens: number;
  /** Mean tokens of a prompt and of an answer; weigh requests of which nothing else is known. */
  usualPromptTokens: number;
  /** See `usualPromptTokens`. */
  usualAnswerTokens: number;
}

/** What an engine says of its own load, some hundred milliseconds late. */
export interface EngineReport {
  /** Requests that run. */
  running: number;
  /** Requests that wait for a slot. */
  queued: number;
  /** Tokens of memory in use. */
  usedTokens: number;
}

/** A service as placement sees it. */
export interface PlacementService {
  /** Name of the service. */
  name: string;
  /** Requests a second that a cold server of the service bears; 0 where cold starts do not matter. */
  coldRequestsPerS: number;
  /** Cost figures; only model engines have them. */
  engine?: EngineProfile;
}

/** A server that may be used. */
export interface PlacementServer {
  /** Identity of one incarnation of the server. */
  id: string;
  /** Service that the server belongs to. */
  service: string;
  /** IP address and port. */
  address: string;
  /** Data centre of the server. */
  dataCentre: string;
  /** Requests that the server runs at once. */
  slots: number;
  /** Wall time of its start; tells two starts under one id apart. */
  bornMs: number;
  /** Monotonic time until which the server is cold. */
  coldUntilMs: Millis;
}

/** A request that needs a server. */
export interface PlacementJob {
  /** Unique id of the request. */
  id: string;
  /** Service that answers it. */
  service: string;
  /** Tokens of the prompt; 0 for plain services. */
  promptTokens: number;
  /** Tokens that the answer is expected to have; 0 for plain services. */
  answerTokens: number;
  /** Milliseconds within which the first byte earns full credit. */
  goalMs: Millis;
  /** Longest pause between events that is still in time; 0 where the answer is no stream. */
  pauseGoalMs: Millis;
  /** Milliseconds until the caller leaves without a first byte. */
  remainingMs: Millis;
  /** Milliseconds until the caller's deadline, by which the answer must be whole. */
  wholeWithinMs: Millis;
  /** Milliseconds since the caller's request came. */
  elapsedMs: Millis;
  /** Servers that this request must not get. */
  excludedIds: readonly string[];
  /** True for a second or later server of the same request. */
  isRetry: boolean;
  /** Hash of the content, by which repeats of a request that crashes servers are recognized. */
  fingerprint: string;
  /** True where the request may run more than once. */
  isRepeatable: boolean;
}

/** A memory reservation that a joint read needs on a helper. */
export interface TicketPlan {
  /** Helper that holds the memory. */
  serverId: string;
  /** Tokens to reserve there. */
  tokens: number;
}

/** Reasons of a refusal by placement. */
export const PLACEMENT_REFUSAL = {
  NO_SERVER: "no_server",
  RETRY_BUDGET: "retry_budget",
  QUARANTINED: "quarantined",
  COLD_LIMIT: "cold_limit",
  TOO_LARGE: "too_large",
  UNSERVABLE: "unservable",
} as const;

/** One of {@linkcode PLACEMENT_REFUSAL}. */
export type PlacementRefusal = typeof PLACEMENT_REFUSAL[keyof typeof PLACEMENT_REFUSAL];

/** What placement decides for a job. */
export type PlacementDecision =
  | {
    kind: "placed";
    serverId: string;
    /** Servers that read a part of the prompt. */
    helperIds: string[];
    /** Memory to reserve on helpers before the request is sent. */
    tickets: TicketPlan[];
    /** Expected milliseconds of reading on each of the servers. */
    partMs: Millis;
    /** Expected milliseconds to the first byte. */
    expectedMs: Millis;
  }
  | { kind: "refused"; reason: PlacementRefusal; retryAfterMs: Millis };

/** How the exchange of a job with its server ended. */
export const JOB_OUTCOME = {
  /** Whole answer. */
  ANSWERED: "answered",
  /** The server answered with a failure of its own after running the request. */
  FAILED: "failed",
  /** The server said that it did not run the request. */
  REJECTED: "rejected",
  /** The connection broke off, or the answer was not usable. */
  BROKEN: "broken",
  /** No connection, or no answer in the expected time. */
  SILENT: "silent",
  /** The caller left, or its deadline passed. */
  CANCELLED: "cancelled",
} as const;

/** One of {@linkcode JOB_OUTCOME}. */
export type JobOutcome = typeof JOB_OUTCOME[keyof typeof JOB_OUTCOME];
