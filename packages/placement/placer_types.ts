/**
 * Contracts of the placer.
 *
 * @module
 */
import type { Clock, Millis } from "@jaypass/kernel";
import type { RetryLimits } from "./create_retry_limiter.ts";
import type {
  EngineReport,
  JobOutcome,
  PlacementDecision,
  PlacementJob,
  PlacementRefusal,
  PlacementServer,
  PlacementService,
  TicketPlan,
} from "./types.ts";

/** Limits of a cold server, from the settings of the host. */
export interface ColdLimits {
  /** Factor on the service's cold rate that must not be exceeded. */
  multiplier: number;
  /** Requests a second allowed besides. */
  slack: number;
}

/** A decision and what it rests on. */
export interface DecisionRecord {
  /** The job. */
  jobId: string;
  /** What was decided. */
  decision: "placed" | "waits" | PlacementRefusal;
  /** Tokens of the prompt. */
  promptTokens: number;
  /** Milliseconds since the caller's request came. */
  elapsedMs: Millis;
  /** Servers that were usable. */
  usable: number;
  /** Prompts that wait. */
  waiting: number;
  /** The chosen server. */
  serverId?: string;
  /** Servers that read a part of the prompt. */
  helperIds?: string[];
  /** Expected milliseconds of reads that come before. */
  backlogMs?: Millis;
  /** Expected milliseconds to the first byte. */
  expectedMs?: Millis;
  /** Weight of the writers that are delayed. */
  harm?: number;
}

/** Options of {@linkcode createPlacer}. */
export interface PlacerOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Retry limits over all hosts. */
  retryLimits: RetryLimits;
  /** Cold limits over all hosts. */
  coldLimits: ColdLimits;
  /** Part of the common limits that this placer may use, between 0 and 1. */
  share: () => number;
  /** True while long prompts may wait for quiet engines, since most of the load is known. */
  canQueue: () => boolean;
  /** True while other hosts place as well and this placer does not hear of it. */
  isUncoordinated: () => boolean;
  /** Receives each decision with what it rests on, for the log. */
  onDecision?: (note: DecisionRecord) => void;
  /** Orders servers of equal load; hosts that place alone differ in it, so as not to meet. */
  seed: string;
}

/** A job that runs already, as a host reports it to a hub that is new to it. */
export interface RunningJob {
  /** The request. */
  job: PlacementJob;
  /** The decision under which it was sent. */
  serverId: string;
  /** Servers that read a part of its prompt. */
  helperIds: string[];
  /** Memory reserved on helpers. */
  tickets: TicketPlan[];
  /** Expected milliseconds of reading on each of the servers. */
  partMs: Millis;
  /** Milliseconds since it was placed. */
  ageMs: Millis;
  /** True once the first byte of the answer came. */
  isWriting: boolean;
}

/** Decides which server gets a request, with the load of everything that it placed. */
export interface Placer {
  /** Replaces the usable servers; the load of those that stay is kept. */
  setServers(servers: readonly PlacementServer[]): void;
  /** Replaces the services. */
  setServices(services: readonly PlacementService[]): void;
  /** Places a job, at once or after a wait; a placed job counts until it is finished. */
  place(job: PlacementJob): PlacementDecision | Promise<PlacementDecision>;
  /** Sends jobs that wait and whose time has come. */
  dispatchReady(): void;
  /** Takes an engine's report on its load. */
  applyReport(serverId: string, report: EngineReport): void;
  /** Takes over a job that was placed elsewhere. */
  addRunning(running: RunningJob): void;
  /** Tells that the first byte of the answer came. */
  started(jobId: string): void;
  /** Tells how a job ended, and at which server that is at fault where it is known. */
  finished(jobId: string, outcome: JobOutcome, faultyServerId?: string): void;
}
