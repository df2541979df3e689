/**
 * Contracts with model engines and plain services.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Whether the request of a failed call ran. */
export type ExecutionStatus = "not_run" | "unknown" | "ran";

/** Why a call failed; also the tag of the error counter. */
export const ENGINE_ERROR_CODE = {
  /** The connection was refused or could not be established. */
  REFUSED: "refused",
  /** The connection broke, or the server restarted. */
  DIED: "died",
  /** Nothing arrived for longer than the idle timeout, or no connection was made in time. */
  SILENT: "silent",
  /** The answer belongs to another request. */
  CROSSED: "crossed",
  /** The answer ended before it was whole. */
  CUT: "cut",
  /** The server refused the request because it has too much work. */
  OVERLOADED: "overloaded",
  /** The server refused the request because of a newer fencing number. */
  STALE_FENCING: "stale_fencing",
  /** The time of the whole call passed. */
  TIMEOUT: "timeout",
  /** The answer is not what the protocol allows, for example a repeated token. */
  PROTOCOL: "protocol",
  /** The server refused or ended the request for a reason of its own, named by `reason`. */
  REJECTED: "rejected",
  /** The caller's signal aborted, or `beforeSend` threw. */
  ABORTED: "aborted",
} as const;

/** A code of {@linkcode ENGINE_ERROR_CODE}. */
export type EngineErrorCode = typeof ENGINE_ERROR_CODE[keyof typeof ENGINE_ERROR_CODE];

/** A completion as sent to an engine. */
export interface EngineRequest {
  requestId: string;
  model: string;
  prompt: string;
  /**
   * Tokens already generated elsewhere, to be continued after. The first event then has the index
   * `generated.length`.
   */
  generated: string[];
  /** Length of the whole answer, `generated` included. */
  maxTokens: number;
  /** Lower numbers first. */
  priority: number;
  /** Fencing number of the coordinator's lease. */
  fencing: number;
}

/** A token or the end of a completion. */
export type EngineEvent =
  | { type: "token"; requestId: string; index: number; text: string }
  /** `totalTokens` counts the whole answer, tokens of `generated` included. */
  | { type: "end"; requestId: string; totalTokens: number; cachedTokens: number };

/** Load as an engine reports it, with a lag. */
export interface EngineLoad {
  /** Changes with each start of the engine. */
  restartCount: number;
  warm: boolean;
  running: number;
  usedTokens: number;
  memoryTokens: number;
  /** Age of the report. */
  ageMs: Millis;
  models: Record<string, string>;
  role: string;
}

/** A request that an engine holds memory for. */
export interface ActiveRequest {
  requestId: string;
  tokens: number;
  /** Fencing number that it came with. */
  fencing: number;
  state: "waiting" | "running" | "finished" | "reserved";
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  seq: number;
  kind: "stored" | "evicted";
  /** Hash of the prefix block, as computed by `hashPrefixBlocks`. */
  block: string;
}

/** An order to an engine. */
export interface EngineOrder {
  kind: "load_model" | "load_adapter" | "set_version" | "set_role" | "unload_model";
  name: string;
  version: string;
  fencing: number;
}

/** Limits of a call. */
export interface EngineCallOptions {
  /** Longest time of the whole call. */
  timeoutMs: Millis;
  signal?: AbortSignal;
  /** Called right before bytes are written; throwing prevents the send. */
  beforeSend?: () => void;
}

/** Limits of a stream. */
export interface EngineStreamOptions extends EngineCallOptions {
  /**
   * Longest silence before the connection counts as broken. It holds from the send on, because an
   * engine confirms a request at once and then sends progress events until the first token.
   */
  idleTimeoutMs: Millis;
  /** Told when the engine has accepted the request, with its restart counter. */
  onAccepted?: (restartCount: number) => void;
}

/** Client of one engine. Its calls throw `EngineError` with `ran` and `code`. */
export interface EngineClient {
  readonly url: string;
  /**
   * Sends a completion when its first event is asked for. A stream that is aborted, times out or is
   * left by its reader is cancelled on the engine; after any other failure the request stays there.
   */
  complete(req: EngineRequest, options: EngineStreamOptions): AsyncIterable<EngineEvent>;
  /**
   * Streams the events of a running or finished request from a token index on. Leaving the stream
   * does not cancel the request, because another host may own it.
   */
  resume(requestId: string, from: number, options: EngineStreamOptions): AsyncIterable<EngineEvent>;
  /** Ends a request and frees its memory; also succeeds when it is not known. */
  cancel(requestId: string, options: EngineCallOptions): Promise<void>;
  active(options: EngineCallOptions): Promise<ActiveRequest[]>;
  load(options: EngineCallOptions): Promise<EngineLoad>;
  cacheEvents(afterSeq: number, options: EngineCallOptions): Promise<CacheEvent[]>;
  /** Computes the KV cache of a part of a prompt and keeps it under the request id. */
  prefill(
    req: EngineRequest,
    part: { fromToken: number; toToken: number },
    options: EngineCallOptions,
  ): Promise<void>;
  exportKv(requestId: string, options: EngineCallOptions): Promise<Uint8Array>;
  importKv(requestId: string, kv: Uint8Array, options: EngineCallOptions): Promise<void>;
  order(order: EngineOrder, options: EngineCallOptions): Promise<void>;
  close(): Promise<void>;
}

/** A call to a plain service. */
export interface ServiceRequest {
  requestId: string;
  operation: string;
  body: Uint8Array;
  contentType: string;
  /** Sent as `idempotency-key`, when there is one. */
  key?: string;
  /** Sent as `fencing-number`, when there is one. */
  fencing?: number;
}

/** The answer of a plain service. */
export interface ServiceResponse {
  requestId: string;
  status: number;
  contentType: string;
  body: Uint8Array;
  /** Restart counter that the server showed with its answer. */
  restartCount: number;
}

/** Client of one server of a plain service. Its calls throw `EngineError`. */
export interface ServiceClient {
  readonly url: string;
  call(
    req: ServiceRequest,
    options: EngineCallOptions & {
      /**
       * Uses a new connection. An idle one may have gone silent or may be closing, so that a call
       * that may not be repeated would end with an unknown outcome.
       */
      freshConnection?: boolean;
    },
  ): Promise<ServiceResponse>;
  /** Raises the fencing number of a key so that earlier attempts are refused. */
  raiseFence(key: string, fencing: number, options: EngineCallOptions): Promise<void>;
  /** Finds the result stored under a key. */
  lookup(key: string, options: EngineCallOptions): Promise<ServiceResponse | undefined>;
  load(options: EngineCallOptions): Promise<EngineLoad>;
  close(): Promise<void>;
}
