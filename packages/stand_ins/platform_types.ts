/**
 * Options and faults of the platform stand-in.
 *
 * @module
 */
import type { Millis, RandomSource } from "@jaypass/kernel";

/** Selects the requests that a fault applies to; all requests of its kind by default. */
export interface FaultSelector {
  /** Probability with which the fault applies to a request. */
  probability?: number;
  /** Number of selected requests that are served normally before the fault starts. */
  skip?: number;
  /** Number of requests that the fault applies to before it ends. */
  next?: number;
}

/** Faults for one client or for all; absent faults are off. */
export interface PlatformFaults {
  /**
   * Requests are answered with 503 (`refuse`), have their connection closed (`reset`) or are never
   * answered (`silent`). They take no effect.
   */
  outage?: "refuse" | "reset" | "silent";
  /** Milliseconds before a request is handled. */
  delayMs?: Millis;
  /** Writes that take effect, but are not answered; the connection is closed unless `silent`. */
  loseAnswers?: FaultSelector & { silent?: boolean };
  /** Writes that are executed `delayMs` later, if their conditions hold then, and not answered. */
  lateWrites?: FaultSelector & { delayMs: Millis };
  /** Writes that never take effect and are never answered. */
  dropWrites?: FaultSelector;
  /** Reads and listings of tables that return the state of `ageMs` ago. */
  staleReads?: FaultSelector & { ageMs: Millis };
}

/** Body of `POST /test/faults`. */
export interface FaultChange {
  /**
   * Values of `x-client` to set faults for; by default, all clients without faults of their own.
   */
  clients?: string[];
  /** New faults, which replace the previous ones of these clients; `{}` ends all of them. */
  faults?: PlatformFaults;
  /** Removes the faults of all clients first. */
  reset?: boolean;
  /** Maximum rate of reads; requests above it are refused with 429. */
  readsPerSecond?: number;
  /** Maximum rate of writes; requests above it are refused with 429. */
  writesPerSecond?: number;
}

/** Options of the platform stand-in; all but `random` can be given to the program as JSON. */
export interface PlatformStandInOptions {
  /** Port to listen on; a free one by default or if 0. */
  port?: number;
  /** Address to listen on, `127.0.0.1` by default. */
  host?: string;
  /** Maximum rate of reads, 2,000 per second by default. */
  readsPerSecond?: number;
  /** Maximum rate of writes, 500 per second by default. */
  writesPerSecond?: number;
  /** Lag of the host list in milliseconds, 0 by default. */
  hostListLagMs?: Millis;
  /** Rate of the weight store in bytes per second, 1 GB/s by default. */
  weightBytesPerSecond?: number;
  /** Sizes of model weights in bytes by `name@version`; 10 GB for others. */
  weights?: Record<string, number>;
  /** Seed of the random numbers if the stand-in runs as a program. */
  seed?: number;
  /** Source of the random numbers for fault probabilities. */
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
  /** Requests refused because of the rate limit. */
  overBudget: number;
  /** Transactions refused because a condition did not hold. */
  conflicts: number;
  /** Number of requests affected by each fault. */
  faults: Record<string, number>;
  /** Seconds since the start or the last `POST /test/counts/reset`. */
  seconds: number;
  readsPerSecond: number;
  writesPerSecond: number;
  /** Reads and writes of each client. */
  clients: Record<string, { reads: number; writes: number }>;
}
