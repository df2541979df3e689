/**
 * Types of placement: servers, jobs and decisions.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Cost model of a model engine, as operators configure it for a service. */
export interface EngineProfile {
  /** Number of requests that the engine runs at once. */
  slots: number;
  /** Capacity of the engine's memory in tokens. */
  memoryTokens: number;
  /** Milliseconds of one decode step without load. */
  stepMs: Millis;
  /** Milliseconds that each decoding request adds to a step. */
  perWriterMs: Millis;
  /** Milliseconds that 1,000 context tokens of decoding requests add to a step. */
  contextMsPerThousand: Millis;
  /** Prompt tokens that are prefilled in a millisecond, without the cost of attention. */
  readTokensPerMs: number;
  /** Milliseconds of attention for a million pairs of a prompt token and an earlier one. */
  pairMsPerMillion: Millis;
  /** Decode steps of a pass; each decoding request sends one event per pass. */
  stepsPerPass: number;
  /** Maximum number of prompt tokens that are prefilled in a step. */
  chunkTokens: number;
  /** Mean number of prompt tokens, assumed for requests that other hosts placed. */
  usualPromptTokens: number;
  /** Mean number of answer tokens, assumed for requests that other hosts placed. */
  usualAnswerTokens: number;
}

/** An engine's report of its own load, a few hundred milliseconds old. */
export interface EngineReport {
  /** Number of running requests. */
  running: number;
  /** Number of requests that wait for a slot. */
  queued: number;
  /** Memory in use, in tokens. */
  usedTokens: number;
  /** How many times slower than usual the engine is; undefined if it does not state it. */
  pace?: number;
}

/** A service whose requests are placed. */
export interface PlacementService {
  /** Name of the service. */
  name: string;
  /** Requests per second that a cold server of the service can take; 0 for no limit. */
  coldRequestsPerS: number;
  /** Cost model; only set for services of model engines. */
  engine?: EngineProfile;
  /** True if requests of different priorities reach the service; false if missing. */
  isPrioritized?: boolean;
}

/** A server that may get requests. */
export interface PlacementServer {
  /** Identity of one incarnation of the server. */
  id: string;
  /** Service that the server belongs to. */
  service: string;
  /** IP address and port. */
  address: string;
  /** Data centre of the server. */
  dataCentre: string;
  /** Number of requests that the server runs at once. */
  slots: number;
  /** Wall-clock time of the server's start; distinguishes two starts under the same id. */
  bornMs: number;
  /** Monotonic time until which the server counts as cold. */
  coldUntilMs: Millis;
}

/** A request that needs a server. */
export interface PlacementJob {
  /** Unique id of the job. */
  id: string;
  /** Service that answers the request. */
  service: string;
  /** Number of prompt tokens; 0 for plain services, which run no model. */
  promptTokens: number;
  /** Expected number of answer tokens; 0 for plain services. */
  answerTokens: number;
  /** Goal for the first byte, in milliseconds since the caller's request arrived. */
  goalMs: Millis;
  /** Goal for the longest pause between two events; 0 if the answer is not streamed. */
  pauseGoalMs: Millis;
  /**
   * Milliseconds until the caller gives up if no first byte has arrived, or until its host stops too
   * soon for the answer to end.
   */
  remainingMs: Millis;
  /** Milliseconds until the caller's deadline for the complete answer. */
  wholeWithinMs: Millis;
  /** Milliseconds since the caller's request arrived. */
  elapsedMs: Millis;
  /** Servers that the request must not be sent to. */
  excludedIds: readonly string[];
  /** True for the second and later attempts of a request. */
  isRetry: boolean;
  /**
   * True for the second run of a request that is merely slower than usual, which is refused where it
   * would delay another request; missing for others. `isRetry` is true as well.
   */
  isHedge?: boolean;
  /** True if the answer continues one that broke off, so that it is not the whole one. */
  isContinuation: boolean;
  /** Hash of the content, which identifies repeats of a request that crashes servers. */
  fingerprint: string;
  /** Ids of the parts of the prompt, of which one may crash servers. */
  parts: readonly string[];
  /** True if the request may run more than once. */
  isRepeatable: boolean;
  /** Workspace of the caller; undefined on public routes and for services without priorities. */
  workspace?: string;
  /** Priority of the workspace, or of the route; 0, also if missing, is the most urgent. */
  priority?: number;
  /** Priority of the route, which decides among jobs of equal `priority`; 0 if missing. */
  routePriority?: number;
  /** Data centre of the host that has read the request; undefined for no preference. */
  dataCentre?: string;
}

/** A memory reservation that a split prefill needs on a helper. */
export interface TicketPlan {
  /** Helper that reserves the memory. */
  serverId: string;
  /** Number of tokens to reserve. */
  tokens: number;
}

/** Reasons for which placement refuses a job. */
export const PLACEMENT_REFUSAL = {
  NO_SERVER: "no_server",
  RETRY_BUDGET: "retry_budget",
  QUARANTINED: "quarantined",
  COLD_LIMIT: "cold_limit",
  TOO_LARGE: "too_large",
  UNSERVABLE: "unservable",
  /** Only of hedges: no server has room to spare. */
  NO_SPARE_ROOM: "no_spare_room",
} as const;

/** One of {@linkcode PLACEMENT_REFUSAL}. */
export type PlacementRefusal = typeof PLACEMENT_REFUSAL[keyof typeof PLACEMENT_REFUSAL];

/** Decision of placement for a job. */
export type PlacementDecision =
  | {
    kind: "placed";
    serverId: string;
    /** Servers that prefill a part of the prompt. */
    helperIds: string[];
    /** Memory reservations to make on helpers before the request is sent. */
    tickets: TicketPlan[];
    /** Expected milliseconds of prefill on each of the servers at usual speed. */
    partMs: Millis;
    /** Expected milliseconds to the first byte. */
    expectedMs: Millis;
    /** The same at the usual speed of the servers; undefined if all have it. */
    usualMs?: Millis;
    /** Factor by which the first of the servers writes slower than usual; undefined at usual speed. */
    writeFactor?: number;
  }
  | { kind: "refused"; reason: PlacementRefusal; retryAfterMs: Millis };

/** Outcomes of a job at its server. */
export const JOB_OUTCOME = {
  /** The answer was complete. */
  ANSWERED: "answered",
  /** The server ran the request and answered with an error. */
  FAILED: "failed",
  /** The server answered that it did not run the request. */
  REJECTED: "rejected",
  /** The connection broke, or the answer was not usable. */
  BROKEN: "broken",
  /** No connection was established, or no answer arrived within the expected time. */
  SILENT: "silent",
  /** The caller left or its deadline passed. */
  CANCELLED: "cancelled",
} as const;

/** One of {@linkcode JOB_OUTCOME}. */
export type JobOutcome = typeof JOB_OUTCOME[keyof typeof JOB_OUTCOME];
