/**
 * Options, faults and log of the plain-service stand-in.
 *
 * @module
 */
import { z } from "zod";

/** Schema of {@linkcode ServiceStandInOptions}. */
export const SERVICE_STAND_IN_OPTIONS = z.strictObject({
  /** Port to listen on; 0 picks a free one. */
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
  /** First restart counter; a program that is started again gets a higher one. */
  restartCount: z.number().int().min(0).default(0),
  /** Time from the start of a call until its effect. */
  serviceMs: z.number().min(0).default(20),
  /** Most concurrent calls while cold; one more crashes the server. */
  coldLimit: z.number().int().positive().default(4),
  /** Most concurrent calls when warm; more are refused as overloaded. */
  warmLimit: z.number().int().positive().default(64),
  /** Time from a start until the server is warm. */
  coldMs: z.number().min(0).default(5_000),
  /** Time from a crash until connections are accepted again. */
  restartMs: z.number().min(0).default(500),
  /** Age of the state that a load report shows. */
  loadLagMs: z.number().min(0).default(500),
  fencing: z.enum(["checked", "ignored"]).default("checked"),
  /** Divides all times, so that tests and load runs take less time. */
  timeScale: z.number().positive().default(1),
});

/** Options of a plain-service stand-in. */
export type ServiceStandInOptions = z.input<typeof SERVICE_STAND_IN_OPTIONS>;

const count = z.number().int().min(0);

/** Schema of {@linkcode ServiceFaults}. */
export const SERVICE_FAULTS = z.strictObject({
  /** Crashes at once; running calls are lost. */
  crash: z.boolean(),
  /** Turns cold without a restart for a time; the load report shows it only when `reported`. */
  turnCold: z.strictObject({ forMs: z.number().positive(), reported: z.boolean().default(true) }),
  /** `open`: connections that are open now go silent; `all`: every connection; `none`: ends it. */
  silence: z.enum(["none", "open", "all"]),
  /** Added to the time of each call. Not scaled. */
  slowMs: z.number().min(0),
  /** Refuses every call as overloaded. */
  refuseAll: z.boolean(),
  /** The next calls take effect, and their connection breaks instead of an answer. */
  loseAnswerNext: count,
  /** The next calls take effect, and their connection stays open without an answer. */
  silentAnswerNext: count,
  /** The next calls take effect, and their answer ends after half of its bytes. */
  cutAnswerNext: count,
  /** The next calls get an answer with the id of another request. */
  crossNext: count,
  /** The next calls crash the server before their effect. */
  crashBeforeNext: count,
  /** The next calls crash the server after their effect and before their answer. */
  crashAfterNext: count,
}).partial();

/** Faults of a plain-service stand-in; a call changes only the ones that it names. */
export type ServiceFaults = z.input<typeof SERVICE_FAULTS>;

/** One run of an operation. */
export interface EffectRecord {
  requestId: string;
  operation: string;
  fencing: number | undefined;
  /** Milliseconds since the Unix epoch. */
  atMs: number;
}

/** What tests read from a plain-service stand-in. */
export interface ServiceLog {
  id: string;
  restartCount: number;
  cold: boolean;
  /** Side effects by idempotency key; calls without a key are under the empty string. */
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
