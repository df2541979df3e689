/**
 * Options, faults and log of the engine stand-in.
 *
 * @module
 */
import { z } from "zod";

/** Schema of {@linkcode EngineStandInOptions}; times are real-time before `timeScale`. */
export const ENGINE_STAND_IN_OPTIONS = z.strictObject({
  /** Port to listen on; 0 picks a free one. */
  port: z.number().int().min(0).default(0),
  host: z.string().default("127.0.0.1"),
  id: z.string().default("engine"),
  /** Models that it serves at the start, with their versions. */
  models: z.record(z.string(), z.string()).default({ default: "1" }),
  role: z.string().default("mixed"),
  /** First restart counter; a program that is started again gets a higher one. */
  restartCount: z.number().int().min(0).default(0),
  /** Memory for KV cache in tokens. */
  memoryTokens: z.number().positive().default(600_000),
  /** Most concurrent requests while cold; one more crashes the engine. */
  coldLimit: z.number().int().positive().default(4),
  /** Most requests that run at a time when warm; more of them wait. */
  warmLimit: z.number().int().positive().default(32),
  /** Most waiting requests; more are refused as overloaded. */
  queueLimit: z.number().int().min(0).default(128),
  /** Time from a start until the engine is warm. */
  coldMs: z.number().min(0).default(10_000),
  /** Factor of the step time while cold. */
  coldSlowdown: z.number().min(1).default(2),
  /** Time from a crash until connections are accepted again. */
  restartMs: z.number().min(0).default(1_000),
  prefillTokensPerSecond: z.number().positive().default(20_000),
  /** Most prompt tokens computed in one step. */
  prefillChunkTokens: z.number().int().positive().default(512),
  msPerOutputToken: z.number().positive().default(20),
  /** Growth of the step time with each further request in the batch, as a fraction. */
  batchGrowth: z.number().min(0).default(0.01),
  bytesPerToken: z.number().positive().default(4),
  /** Age of the state that a load report shows. */
  loadLagMs: z.number().min(0).default(500),
  /** Delay until a cache event is published. */
  cacheEventLagMs: z.number().min(0).default(500),
  /** Longest silence of a stream: a progress event is sent when no token was. Not scaled. */
  keepAliveMs: z.number().positive().default(500),
  /** Time for which the events of a finished request can be resumed. */
  retainFinishedMs: z.number().min(0).default(60_000),
  fencing: z.enum(["checked", "ignored"]).default("checked"),
  /** Divides all times, so that tests and load runs take less time. */
  timeScale: z.number().positive().default(1),
  /** Most records that the test log keeps. */
  logLimit: z.number().int().positive().default(5_000),
});

/** Options of an engine stand-in. */
export type EngineStandInOptions = z.input<typeof ENGINE_STAND_IN_OPTIONS>;

/** Options with defaults filled in. */
export type EngineSettings = z.output<typeof ENGINE_STAND_IN_OPTIONS>;

const count = z.number().int().min(0);

/** Schema of {@linkcode EngineFaults}. */
export const ENGINE_FAULTS = z.strictObject({
  /** Crashes at once; all requests are lost. */
  crash: z.boolean(),
  /** Turns cold without a restart for a time; the load report shows it only when `reported`. */
  turnCold: z.strictObject({ forMs: z.number().positive(), reported: z.boolean().default(true) }),
  /** Crashes when a prompt that contains this text starts to run. */
  poisonMarker: z.string(),
  /** `open`: connections that are open now go silent; `all`: every connection; `none`: ends it. */
  silence: z.enum(["none", "open", "all"]),
  /** Refuses every request as overloaded. */
  refuseAll: z.boolean(),
  /** Delays every event of a stream. */
  lateMs: z.number().min(0),
  /** Factor of the step time. */
  slowFactor: z.number().positive(),
  /** The next streams carry the id of another request. */
  crossNext: count,
  /** The next streams repeat a token. */
  duplicateNext: count,
  /** The next streams leave out a token. */
  gapNext: count,
  /** The next streams end without `end` after some tokens, as if the answer were whole. */
  cutNext: count,
  /** The next streams break with a connection reset after some tokens. */
  breakNext: count,
  /** The next streams end with a total that differs from the tokens sent. */
  wrongTotalNext: count,
  /** The next requests never end and keep their memory until they are cancelled. */
  stuckNext: count,
  /** The next requests run, but their connection is closed before the first event. */
  dropNext: count,
  /** Cancellations are confirmed and have no effect. */
  ignoreCancel: z.boolean(),
  /** Each n-th cache event is lost; 0 loses none. */
  cacheEventLossEvery: count,
  loadLagMs: z.number().min(0),
}).partial();

/** Faults of an engine stand-in; a call changes only the ones that it names. */
export type EngineFaults = z.input<typeof ENGINE_FAULTS>;

/** Faults as the stand-in keeps them. */
export type EngineFaultState = z.output<typeof ENGINE_FAULTS>;

/** A request that the engine accepted. Times are milliseconds since the Unix epoch. */
export interface AcceptedRecord {
  requestId: string;
  fencing: number;
  priority: number;
  kind: "complete" | "prefill";
  promptTokens: number;
  cachedTokens: number;
  /** Whether `generated` was not what the engine itself would have answered. */
  foreignTokens: boolean;
  life: number;
  cold: boolean;
  acceptedMs: number;
  startedMs?: number;
  firstTokenMs?: number;
  endedMs?: number;
  outcome?: "done" | "cancelled" | "lost";
}

/** What tests read from an engine stand-in. */
export interface EngineLog {
  id: string;
  restartCount: number;
  cold: boolean;
  /** The latest records, oldest first. */
  accepted: AcceptedRecord[];
  acceptedTotal: number;
  /** Refusals by reason. */
  refused: Record<string, number>;
  /** Highest number of unfinished requests when one was accepted while cold. */
  highestWhileCold: number;
  highestConcurrency: number;
  running: number;
  waiting: number;
  /** Memory that unfinished and reserved requests hold now, without idle cached blocks. */
  heldTokens: number;
  usedTokens: number;
  highestUsedTokens: number;
  crashes: { atMs: number; reason: "cold_limit" | "poison" | "fault"; requestIds: string[] }[];
  orders: { kind: string; name: string; version: string; fencing: number; accepted: boolean }[];
  generatedTokens: number;
}
