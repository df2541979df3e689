/**
 * Contracts of calls that may run at most once.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Whether the attempt of a refused request ran. */
export const RAN = { NOT_RUN: "not_run", UNKNOWN: "unknown", RAN: "ran" } as const;

/** A value of {@linkcode RAN}. */
export type Ran = typeof RAN[keyof typeof RAN];

/** A stored answer. */
export interface CallResult {
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** A non-idempotent call. */
export interface LedgerCall {
  workspace: string;
  service: string;
  operation: string;
  key: string;
  /** Hash of operation and body; another hash under the same key is refused. */
  bodyHash: string;
  requestId: string;
  remainingMs: Millis;
  resolution: "none" | "lookup" | "fence";
  /**
   * Gets a server ready (admission, connection) and returns the function that sends the call once.
   * Errors thrown by `prepare` mean that nothing was sent.
   */
  prepare(signal: AbortSignal): Promise<PreparedCall>;
  /** Raises the fence of the key and looks it up; used when `resolution` allows it. */
  resolve?(fencing: number, signal: AbortSignal): Promise<CallResult | undefined>;
}

/** A call that is ready to be sent. */
export interface PreparedCall {
  /** Sends the call. Errors carry `ran`; only `not_run` proves that nothing ran. */
  send(fencing: number, signal: AbortSignal): Promise<CallResult>;
  /** Gives the prepared server back without sending. */
  abandon(): void;
}

/** Records of non-idempotent calls in the table service. */
export interface CallLedger {
  /**
   * Runs a call at most once under its key, or returns the stored result of an earlier run.
   *
   * @throws {CallError} with `reason` and `ran`
   */
  run(call: LedgerCall, signal: AbortSignal): Promise<CallResult & { replayed: boolean }>;
  /** Reads the state of a key. */
  status(workspace: string, service: string, key: string): Promise<CallStatus>;
  /** Lists calls whose outcome is unknown, for operators. */
  listUnknown(limit: number): Promise<CallStatus[]>;
  /** Settles an unknown call by an operator's decision. */
  settle(
    call: { workspace: string; service: string; key: string },
    decision: "done" | "not_run",
  ): Promise<void>;
  stop(): Promise<void>;
}

/** What is known of a key. */
export interface CallStatus {
  workspace: string;
  service: string;
  key: string;
  state: "absent" | "started" | "sending" | "done" | "not_run";
  attempt?: string;
  host?: string;
  result?: CallResult;
}
