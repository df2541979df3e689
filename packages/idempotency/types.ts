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
  /** Answers `Calls.Status` of another host about an attempt of this process. */
  answerStatus(request: AttemptQuery): OwnerAnswer;
  /** Awaits the running attempts and ends the background work. */
  stop(): Promise<void>;
}

/** The process that runs an attempt. */
export interface CallOwner {
  host: string;
  /** Distinguishes processes that run on the same host one after another. */
  incarnation: string;
  /** Peer address, `ip:port`. */
  address: string;
}

/** Question about an attempt, asked at its owner's address. */
export interface AttemptQuery {
  /** The process that is asked; another process at its address answers for itself only. */
  owner: CallOwner;
  /** Key of the record. */
  record: string;
  attempt: string;
}

/**
 * What the owner of an attempt says of it.
 *
 * `finished` means that the attempt sends nothing any more and its last write has been tried;
 * `newer_incarnation` that the owner is gone; `unreachable` proves nothing.
 */
export type OwnerAnswer = "in_progress" | "finished" | "newer_incarnation" | "unreachable";

/** Asks the owner of an attempt; resolves to `unreachable` without an answer. */
export type AskHost = (query: AttemptQuery, signal: AbortSignal) => Promise<OwnerAnswer>;

/** Value of a record in the table service. */
export interface CallRecord {
  state: "started" | "sending" | "done" | "not_run";
  attempt: string;
  owner: CallOwner;
  /** Grows by one with each attempt and each raised fence. */
  fencing: number;
  bodyHash: string;
  operation: string;
  requestId: string;
  result?: StoredResult | undefined;
  /** Wall time in milliseconds at which the record became `done`. */
  doneWallMs?: number | undefined;
}

/** A result as the record holds it: in base64, or by the name of an object. */
export interface StoredResult {
  status: number;
  contentType: string;
  bodyBase64?: string | undefined;
  object?: string | undefined;
}

/** Times of the ledger in milliseconds; see the constants for their reasons. */
export interface LedgerTiming {
  storeTimeoutMs: Millis;
  storeWaitMs: Millis;
  pollMs: Millis;
  maxPollMs: Millis;
  startedTakeoverMs: Millis;
  sendGraceMs: Millis;
  settleRetryMs: Millis;
  cleanUpMs: Millis;
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
