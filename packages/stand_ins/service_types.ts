/**
 * Options, faults and log of the plain-service stand-in.
 *
 * @module
 */
import { z } from "zod";

/** Schema of {@linkcode ServiceStandInOptions}. */
export const SERVICE_STAND_IN_OPTIONS = z.strictObject({
  /** Port to listen on; 0 selects a free one. */
  port: z.number().int().min(0).default(0),
  host: z.string().default("127.0.0.1"),
  id: z.string().default("service"),
  /** Operations and whether each has a side effect. */
  operations: z.record(z.string(), z.strictObject({ hasEffect: z.boolean() })).default({
    book: { hasEffect: true },
    charge: { hasEffect: true },
    dispatch: { hasEffect: true },
    lookup: { hasEffect: false },
  }),
  /** Initial restart count; a program that is started again must get a higher one. */
  restartCount: z.number().int().min(0).default(0),
  /** Time from the start of a call until its effect, in milliseconds. */
  serviceMs: z.number().min(0).default(20),
  /** Maximum number of concurrent calls while cold; one more crashes the server. */
  coldLimit: z.number().int().positive().default(4),
  /** Maximum number of concurrent calls when warm; further ones are refused as overloaded. */
  warmLimit: z.number().int().positive().default(64),
  /** Time from a start until the server is warm, in milliseconds. */
  coldMs: z.number().min(0).default(5_000),
  /** Time from a crash until connections are accepted again, in milliseconds. */
  restartMs: z.number().min(0).default(500),
  /** Age of the state in a load report. */
  loadLagMs: z.number().min(0).default(500),
  fencing: z.enum(["checked", "ignored"]).default("checked"),
  /** Divisor of all times, which shortens tests and load runs. */
  timeScale: z.number().positive().default(1),
});

/** Options of a plain-service stand-in. */
export type ServiceStandInOptions = z.input<typeof SERVICE_STAND_IN_OPTIONS>;

const count = z.number().int().min(0);

/** Schema of {@linkcode ServiceFaults}. */
export const SERVICE_FAULTS = z.strictObject({
  /** Crashes immediately; running calls are lost. */
  crash: z.boolean(),
  /**
   * Makes the server cold for a time without a restart; load reports show it only if `reported`.
   */
  turnCold: z.strictObject({ forMs: z.number().positive(), reported: z.boolean().default(true) }),
  /**
   * Stops all responses on the currently open connections (`open`) or on all connections (`all`);
   * `none` ends it for later connections.
   */
  silence: z.enum(["none", "open", "all"]),
  /** Time added to each call, in milliseconds. Not scaled. */
  slowMs: z.number().min(0),
  /** Refuses every call as overloaded. */
  refuseAll: z.boolean(),
  /** Number of next calls that take effect, but whose connection is reset without an answer. */
  loseAnswerNext: count,
  /** Number of next calls that take effect, but whose connection stays open without an answer. */
  silentAnswerNext: count,
  /** Number of next calls that take effect, but whose answer ends after half of its bytes. */
  cutAnswerNext: count,
  /** Number of next calls whose answer carries the id of another request. */
  crossNext: count,
  /** Number of next calls that crash the server before their effect. */
  crashBeforeNext: count,
  /** Number of next calls that crash the server after their effect and before their answer. */
  crashAfterNext: count,
}).partial();

/** Faults of a plain-service stand-in; absent ones keep their current value. */
export type ServiceFaults = z.input<typeof SERVICE_FAULTS>;

/** An effect of an operation. */
export interface EffectRecord {
  requestId: string;
  operation: string;
  fencing: number | undefined;
  /** Milliseconds since the Unix epoch. */
  atMs: number;
}

/** Log of a plain-service stand-in, as read by tests. */
export interface ServiceLog {
  id: string;
  restartCount: number;
  cold: boolean;
  /** Effects by idempotency key; the key of calls without one is the empty string. */
  effects: Record<string, EffectRecord[]>;
  fences: Record<string, number>;
  acceptedTotal: number;
  refused: Record<string, number>;
  running: number;
  /** Highest number of running calls when one was accepted while cold. */
  highestWhileCold: number;
  highestConcurrency: number;
  crashes: { atMs: number; reason: "cold_limit" | "fault"; requestIds: string[] }[];
}
