/**
 * Options and faults of the platform stand-in.
 *
 * @module
 */
import type { Millis, RandomSource } from "@jaypass/kernel";

/** Which of the matching requests a fault hits; without `probability` and `next`, all of them. */
export interface FaultSelector {
  /** Probability for each request. */
  probability?: number;
  /** Number of matching requests that pass before the fault starts. */
  skip?: number;
  /** Number of requests that are hit; the fault ends afterwards. */
  next?: number;
}

/** Faults for one client or for all; an absent member means that the fault is off. */
export interface PlatformFaults {
  /** `refuse` answers 503, `reset` cuts the connection, `silent` never answers. Nothing takes effect. */
  outage?: "refuse" | "reset" | "silent";
  /** Milliseconds before a request is handled. */
  delayMs?: Millis;
  /** Writes that take effect and whose answer is lost; `silent` keeps the connection open. */
  loseAnswers?: FaultSelector & { silent?: boolean };
  /** Writes that take effect `delayMs` later, if their conditions hold then, without an answer. */
  lateWrites?: FaultSelector & { delayMs: Millis };
  /** Writes that never take effect and are never answered. */
  dropWrites?: FaultSelector;
  /** Reads and listings of tables that show the state of `ageMs` ago. */
  staleReads?: FaultSelector & { ageMs: Millis };
}

/** Body of `POST /test/faults`. */
export interface FaultChange {
  /** Values of `x-client` that are hit; absent means every client without faults of its own. */
  clients?: string[];
  /** The new faults, which replace the earlier ones of these clients; `{}` ends them. */
  faults?: PlatformFaults;
  /** Removes the faults of all clients first. */
  reset?: boolean;
  /** Most reads per second; above it requests are refused with 429. */
  readsPerSecond?: number;
  /** Most writes per second; above it requests are refused with 429. */
  writesPerSecond?: number;
}

/** Options of the platform stand-in; all but `random` can be given to the program as JSON. */
export interface PlatformStandInOptions {
  /** Port on the loopback address; 0 or absent chooses a free one. */
  port?: number;
  /** Loopback address, `127.0.0.1` by default. */
  host?: string;
  /** Most reads per second, 2,000 by default. */
  readsPerSecond?: number;
  /** Most writes per second, 500 by default. */
  writesPerSecond?: number;
  /** Lag of the host list in milliseconds, 0 by default. */
  hostListLagMs?: Millis;
  /** Rate of the weight store in bytes per second, 1 GB/s by default. */
  weightBytesPerSecond?: number;
  /** Sizes of weights in bytes by `name@version`; others have 10 GB. */
  weights?: Record<string, number>;
  /** Seed of the program's random numbers. */
  seed?: number;
  /** Random numbers for fault probabilities. */
  random?: RandomSource;
}

/** Answer of `GET /test/counts`. */
export interface PlatformCounts {
  /** Table and object reads, listings included. */
  reads: number;
  /** Transactions and object writes. */
  writes: number;
  /** Rows written by transactions. */
  rowsWritten: number;
  /** Requests refused over the budget. */
  overBudget: number;
  /** Transactions refused because of a condition. */
  conflicts: number;
  /** Requests hit by a fault, by its name. */
  faults: Record<string, number>;
  /** Seconds since the start or the last `POST /test/counts/reset`. */
  seconds: number;
  readsPerSecond: number;
  writesPerSecond: number;
  /** Reads and writes by client. */
  clients: Record<string, { reads: number; writes: number }>;
}
