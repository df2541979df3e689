/**
 * Types of the placer.
 *
 * @module
 */
import type { Clock, Millis } from "@jaypass/kernel";
import type { CrashVerdict } from "./create_crash_evidence.ts";
import type { CallerReturn } from "./create_refusal_register.ts";
import type { QuarantineList } from "./create_quarantine_list.ts";
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

/** Request limits of cold servers, from the settings of the host. */
export interface ColdLimits {
  /** Multiple of the service's cold request rate that must not be exceeded. */
  multiplier: number;
  /** Additional requests allowed per second. */
  slack: number;
}

/** Why a waiting prompt of a prioritized service is refused. */
export type RefusalCause =
  /** Its time is up. */
  | "late"
  /** The work before it takes longer than it has time. */
  | "early"
  /** The queue is full, and the prompt gives way to one of another workspace. */
  | "displaced"
  /** The queue is full, and no prompt gives way to it. */
  | "full"
  /** Its caller has left, or another placer has placed it. */
  | "cancelled";

/** What the shares of workspaces and the early refusals do, as it is counted. */
export type ShareEvent =
  | "returned_early"
  | "returned_in_time"
  | "placed_below_share"
  | "placed_above_share"
  | `refused_${Exclude<RefusalCause, "cancelled">}`;

/** Shares that a decision rests on, for services with priorities. */
export interface ShareRecord {
  /** Workspace of the caller. */
  workspace: string | undefined;
  /** Priority of the workspace or the route. */
  priority: number;
  /** Priority of the route. */
  routePriority: number;
  /** Recent work of the workspace in engine milliseconds. */
  workspaceMs: Millis;
  /** Equal share of the workspaces that have work. */
  shareMs: Millis;
}

/** A placement decision with its inputs, as it is logged. */
export interface DecisionRecord extends Partial<ShareRecord> {
  /** Id of the job. */
  jobId: string;
  /** The decision. */
  decision: "placed" | "waits" | PlacementRefusal;
  /** Number of prompt tokens. */
  promptTokens: number;
  /** Milliseconds since the caller's request arrived. */
  elapsedMs: Millis;
  /** Number of usable servers. */
  usable: number;
  /** Number of queued long prompts. */
  waiting: number;
  /** Chosen server. */
  serverId?: string;
  /** Servers that prefill a part of the prompt. */
  helperIds?: string[];
  /** Expected milliseconds of earlier prefills on the chosen servers. */
  backlogMs?: Millis;
  /** Expected milliseconds to the first byte. */
  expectedMs?: Millis;
  /** Weight of the requests that the placement would make late. */
  harm?: number;
  /** Why a waiting prompt was refused. */
  cause?: RefusalCause;
  /** Set if its caller has come back after a refusal. */
  returned?: CallerReturn;
}

/** Options of {@linkcode createPlacer}. */
export interface PlacerOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Retry limits across all hosts. */
  retryLimits: RetryLimits;
  /** Cold limits across all hosts. */
  coldLimits: ColdLimits;
  /** Share of the common limits that this placer may use, between 0 and 1. */
  share: () => number;
  /**
   * Rank of the host for a server among the hosts that share its limit, where the share of each is
   * less than a request; always the first by default.
   */
  rank?: (serverId: string) => number;
  /**
   * False while hosts may have sent requests in the last second that this placer does not know of; true
   * by default.
   */
  knowsRecentSends?: () => boolean;
  /**
   * Calls a function once what other placers have reported before is counted; at once by default. Queued
   * prompts wait for it while a server is cold.
   */
  afterRead?: (run: () => void) => void;
  /** True while prompts may be queued, because the placer knows most of the load. */
  canQueue: () => boolean;
  /** True while other hosts place requests on the same servers without reporting them here. */
  isUncoordinated: () => boolean;
  /** Content whose requests are refused, to which verdicts are added; a new list by default. */
  quarantine?: QuarantineList;
  /** Called with each verdict on content that crashes servers, for the log. */
  onVerdict?: (verdict: CrashVerdict) => void;
  /** Called with each decision and its inputs, for the log. */
  onDecision?: (record: DecisionRecord) => void;
  /** Called for each event of shares and early refusals, for the metrics. */
  onShareEvent?: (event: ShareEvent, job: PlacementJob) => void;
  /**
   * Seed of the order in which equally loaded servers are chosen. It differs between hosts, so that
   * hosts that place requests without a hub do not all choose the same server.
   */
  seed: string;
}

/** A running job, as a host reports it to a hub that did not place it. */
export interface RunningJob {
  /** The request. */
  job: PlacementJob;
  /** Server that received the request. */
  serverId: string;
  /** Servers that prefill a part of the prompt. */
  helperIds: string[];
  /** Memory reservations on helpers. */
  tickets: TicketPlan[];
  /** Expected milliseconds of prefill on each of the servers at usual speed. */
  partMs: Millis;
  /** Expected milliseconds from the placement to the first byte at usual speed; undefined if not known. */
  usualMs?: Millis;
  /** Milliseconds since the job was placed. */
  ageMs: Millis;
  /** True once the first byte of the answer has arrived. */
  isWriting: boolean;
}

/** A server that is or was slow, or that fails requests. */
export interface DegradedServer {
  /** Id of the server. */
  serverId: string;
  /** Factor by which the server is slower than the others of its service; 1 for usual speed. */
  factor: number;
  /** Share of its recent requests that the server has failed. */
  failureShare: number;
  /** True if this placer places requests and the server's pace is worth a request. */
  wantsPace: boolean;
}

/** Decides which server gets a request, and tracks the load of the jobs that it knows. */
export interface Placer {
  /** Replaces the usable servers; the load of remaining servers is kept. */
  setServers(servers: readonly PlacementServer[]): void;
  /**
   * Places no further jobs on one start of a server, which has stated that it leaves, until the server
   * is removed or started again.
   */
  markLeaving(serverId: string, bornMs: number): void;
  /** Replaces the services. */
  setServices(services: readonly PlacementService[]): void;
  /** Places a job, at once or after a wait; a placed job counts as load until it is finished. */
  place(job: PlacementJob): PlacementDecision | Promise<PlacementDecision>;
  /** Reports whether a server is cold, so that the requests to it are limited. */
  hasColdServers(): boolean;
  /** Places the queued jobs that are due and refuses those that can no longer be answered. */
  dispatchReady(): void;
  /** Applies an engine's report of its load. */
  applyReport(serverId: string, report: EngineReport): void;
  /** Applies only the pace of an engine's report; undefined if the report has none. */
  applyPace(serverId: string, pace: number | undefined): void;
  /** Lists the servers that are or were slow, or that fail requests. */
  listDegraded(): DegradedServer[];
  /** Counts a job that another placer placed. */
  addRunning(running: RunningJob): void;
  /** Records that the first byte of the answer has arrived. */
  started(jobId: string): void;
  /** Records how a job ended and, if known, which server was at fault. */
  finished(jobId: string, outcome: JobOutcome, faultyServerId?: string): void;
}
