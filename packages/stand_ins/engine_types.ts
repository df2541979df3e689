/**
 * Options, faults and log of the engine stand-in.
 *
 * @module
 */
import { z } from "zod";

/** Schema of {@linkcode EngineStandInOptions}; times are divided by `timeScale` unless stated. */
export const ENGINE_STAND_IN_OPTIONS = z.strictObject({
  /** Port to listen on; 0 selects a free one. */
  port: z.number().int().min(0).default(0),
  host: z.string().default("127.0.0.1"),
  id: z.string().default("engine"),
  /** Initial models by name, with their versions. */
  models: z.record(z.string(), z.string()).default({ default: "1" }),
  role: z.string().default("mixed"),
  /** Initial restart count; a program that is started again must get a higher one. */
  restartCount: z.number().int().min(0).default(0),
  /** Memory of the KV cache in tokens. */
  memoryTokens: z.number().positive().default(600_000),
  /** Maximum number of concurrent requests while cold; one more crashes the engine. */
  coldLimit: z.number().int().positive().default(4),
  /** Maximum number of running requests; further ones are queued. */
  warmLimit: z.number().int().positive().default(32),
  /** Maximum number of queued requests when warm; further ones are refused as overloaded. */
  queueLimit: z.number().int().min(0).default(128),
  /** Time from a start until the engine is warm, in milliseconds. */
  coldMs: z.number().min(0).default(10_000),
  /** Factor by which steps take longer while cold. */
  coldSlowdown: z.number().min(1).default(2),
  /** Time from a crash until connections are accepted again, in milliseconds. */
  restartMs: z.number().min(0).default(1_000),
  prefillTokensPerSecond: z.number().positive().default(20_000),
  /** Maximum number of prompt tokens computed in one step. */
  prefillChunkTokens: z.number().int().positive().default(512),
  msPerOutputToken: z.number().positive().default(20),
  /** Fraction by which each additional decoding request in the batch increases the step time. */
  batchGrowth: z.number().min(0).default(0.01),
  bytesPerToken: z.number().positive().default(4),
  /** Age of the state in a load report. */
  loadLagMs: z.number().min(0).default(500),
  /** Delay before a cache event is published. */
  cacheEventLagMs: z.number().min(0).default(500),
  /** Maximum time between events of a stream; progress events fill gaps. Not scaled. */
  keepAliveMs: z.number().positive().default(500),
  /** Time for which the stream of a finished request can be resumed. */
  retainFinishedMs: z.number().min(0).default(60_000),
  fencing: z.enum(["checked", "ignored"]).default("checked"),
  /** Divisor of all times, which shortens tests and load runs. */
  timeScale: z.number().positive().default(1),
  /** Maximum number of records in the test log. */
  logLimit: z.number().int().positive().default(5_000),
});

/** Options of an engine stand-in. */
export type EngineStandInOptions = z.input<typeof ENGINE_STAND_IN_OPTIONS>;

/** Options with defaults filled in. */
export type EngineSettings = z.output<typeof ENGINE_STAND_IN_OPTIONS>;

const count = z.number().int().min(0);

/** Schema of {@linkcode EngineFaults}. */
export const ENGINE_FAULTS = z.strictObject({
  /** Crashes immediately; all requests are lost. */
  crash: z.boolean(),
  /**
   * Makes the engine cold for a time without a restart; load reports show it only if `reported`.
   */
  turnCold: z.strictObject({ forMs: z.number().positive(), reported: z.boolean().default(true) }),
  /** Crashes when a request whose prompt contains this text starts to run. */
  poisonMarker: z.string(),
  /**
   * Stops all responses on the currently open connections (`open`) or on all connections (`all`);
   * `none` ends it for later connections.
   */
  silence: z.enum(["none", "open", "all"]),
  /** Refuses every request as overloaded. */
  refuseAll: z.boolean(),
  /** Delay of every event of a stream, in milliseconds. Not scaled. */
  lateMs: z.number().min(0),
  /** Factor by which steps take longer. */
  slowFactor: z.number().positive(),
  /** Number of next streams in which a token carries the id of another request. */
  crossNext: count,
  /** Number of next streams that repeat a token. */
  duplicateNext: count,
  /** Number of next streams that omit a token. */
  gapNext: count,
  /** Number of next streams that end normally after some tokens, but without an `end` event. */
  cutNext: count,
  /** Number of next streams whose connection is reset after some tokens. */
  breakNext: count,
  /** Number of next streams whose `end` event has a total that differs from the tokens sent. */
  wrongTotalNext: count,
  /** Number of next requests that never end and keep their memory until they are cancelled. */
  stuckNext: count,
  /** Number of next requests that run, but whose connection is reset before the first event. */
  dropNext: count,
  /** Confirms cancellations without executing them. */
  ignoreCancel: z.boolean(),
  /** Loses every n-th cache event; 0 loses none. */
  cacheEventLossEvery: count,
  loadLagMs: z.number().min(0),
}).partial();

/** Faults of an engine stand-in; absent ones keep their current value. */
export type EngineFaults = z.input<typeof ENGINE_FAULTS>;

/** Current faults of an engine stand-in. */
export type EngineFaultState = z.output<typeof ENGINE_FAULTS>;

/** A request that the engine accepted. Times are milliseconds since the Unix epoch. */
export interface AcceptedRecord {
  requestId: string;
  fencing: number;
  priority: number;
  kind: "complete" | "prefill";
  promptTokens: number;
  cachedTokens: number;
  /** Whether `generated` differs from the tokens that the engine itself would have generated. */
  foreignTokens: boolean;
  life: number;
  cold: boolean;
  acceptedMs: number;
  startedMs?: number;
  firstTokenMs?: number;
  endedMs?: number;
  outcome?: "done" | "cancelled" | "lost";
}

/** Log of an engine stand-in, as read by tests. */
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
  /** Memory that running and reserved requests hold now, without idle cached blocks. */
  heldTokens: number;
  usedTokens: number;
  highestUsedTokens: number;
  crashes: { atMs: number; reason: "cold_limit" | "poison" | "fault"; requestIds: string[] }[];
  orders: { kind: string; name: string; version: string; fencing: number; accepted: boolean }[];
  generatedTokens: number;
}
