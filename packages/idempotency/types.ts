/**
 * Types of non-idempotent calls, which may run at most once.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Whether the attempt of a refused request was executed. */
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
  /** Hash of operation and body; a call with the same key and another hash is refused. */
  bodyHash: string;
  requestId: string;
  /** Milliseconds until the deadline of the caller. */
  remainingMs: Millis;
  /** How the service can tell the outcome of an earlier attempt: not, by lookup, or by a fence. */
  resolution: "none" | "lookup" | "fence";
  /**
   * Prepares a server (admission, connection) and returns the call that is ready to be sent. An
   * error thrown by `prepare` means that nothing was sent.
   */
  prepare(signal: AbortSignal): Promise<PreparedCall>;
  /**
   * Looks up the result of the key at the service; with a fence, it first makes the service refuse
   * lower fencing numbers. Not used when `resolution` is `none`.
   */
  resolve?(fencing: number, signal: AbortSignal): Promise<CallResult | undefined>;
}

/** A call that is ready to be sent. */
export interface PreparedCall {
  /**
   * Sends the call. An error has a field `ran`; only `not_run` proves that the call did not run.
   */
  send(fencing: number, signal: AbortSignal): Promise<CallResult>;
  /** Releases the prepared server without sending the call. */
  abandon(): void;
}

/** Runs non-idempotent calls at most once, with records in the table service. */
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
  /** Records an operator's decision about a call whose outcome is unknown. */
  settle(
    call: { workspace: string; service: string; key: string },
    decision: "done" | "not_run",
  ): Promise<void>;
  /** Answers `Calls.Status` of another host about an attempt of this process. */
  answerStatus(request: AttemptQuery): OwnerAnswer;
  /** Waits for the running calls and ends the background work. */
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
  /** The process that is asked, since another process may run at its address now. */
  owner: CallOwner;
  /** Key of the record. */
  record: string;
  attempt: string;
}

/**
 * Answer of the owner of an attempt to an {@linkcode AttemptQuery}.
 *
 * `finished` means that the attempt will send nothing more and has tried its last write;
 * `newer_incarnation` means that the owner process no longer exists; `unreachable` proves nothing.
 */
export type OwnerAnswer = "in_progress" | "finished" | "newer_incarnation" | "unreachable";

/** Asks the owner of an attempt; resolves to `unreachable` if there is no answer. */
export type AskHost = (query: AttemptQuery, signal: AbortSignal) => Promise<OwnerAnswer>;

/** Value of a record in the table service. */
export interface CallRecord {
  state: "started" | "sending" | "done" | "not_run";
  attempt: string;
  owner: CallOwner;
  /** Incremented by each attempt and by each raised fence. */
  fencing: number;
  bodyHash: string;
  operation: string;
  requestId: string;
  result?: StoredResult | undefined;
  /** Wall time in milliseconds at which the record became `done`. */
  doneWallMs?: number | undefined;
}

/** A result as stored in the record: its body in base64, or the name of an object that holds it. */
export interface StoredResult {
  status: number;
  contentType: string;
  bodyBase64?: string | undefined;
  object?: string | undefined;
}

/** Times of the ledger; the reasons for the defaults are in `LEDGER_TIMING`. */
export interface LedgerTiming {
  /** Timeout of one call to the store. */
  storeTimeoutMs: Millis;
  /** Total time for a write with its retries. */
  storeWaitMs: Millis;
  /**
   * Pause between retries of store calls, and first interval at which the record of another attempt
   * is read; that interval doubles up to `maxPollMs`.
   */
  pollMs: Millis;
  maxPollMs: Millis;
  /** Time after which an unchanged record in `started` of an unreachable owner is taken over. */
  startedTakeoverMs: Millis;
  /** Time after the deadline until a sent call is aborted. */
  sendGraceMs: Millis;
  /** Interval of the retries to record an outcome in the background. */
  settleRetryMs: Millis;
  /** Interval of the clean-up of expired records. */
  cleanUpMs: Millis;
}

/** State of the record of a key. */
export interface CallStatus {
  workspace: string;
  service: string;
  key: string;
  state: "absent" | "started" | "sending" | "done" | "not_run";
  attempt?: string;
  host?: string;
  result?: CallResult;
}
