/**
 * Types of the clients of model engines and plain services.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Whether the server executed the request of a failed call. */
export type ExecutionStatus = "not_run" | "unknown" | "ran";

/** Why a call failed; also a tag of the counter `engine.error`. */
export const ENGINE_ERROR_CODE = {
  /** The connection was refused or could not be established. */
  REFUSED: "refused",
  /** The connection broke, or the server restarted. */
  DIED: "died",
  /** Nothing arrived for longer than the idle timeout, or no connection was made in time. */
  SILENT: "silent",
  /** The answer belongs to another request. */
  CROSSED: "crossed",
  /** The answer ended before it was complete. */
  CUT: "cut",
  /** The server refused the request because it is overloaded. */
  OVERLOADED: "overloaded",
  /** The server refused the request because of a newer fencing number. */
  STALE_FENCING: "stale_fencing",
  /** The server refused the request because it has restarted; see `expectedRestartCount`. */
  RESTARTED: "restarted",
  /** The call exceeded its total timeout. */
  TIMEOUT: "timeout",
  /** The answer violates the protocol, for example by a repeated token. */
  PROTOCOL: "protocol",
  /** The server refused or ended the request for the reason in `reason`. */
  REJECTED: "rejected",
  /** The caller's signal aborted, or `beforeSend` threw. */
  ABORTED: "aborted",
} as const;

/** A code of {@linkcode ENGINE_ERROR_CODE}. */
export type EngineErrorCode = typeof ENGINE_ERROR_CODE[keyof typeof ENGINE_ERROR_CODE];

/** A completion request as sent to an engine. */
export interface EngineRequest {
  requestId: string;
  model: string;
  prompt: string;
  /**
   * Tokens of the answer that another engine has generated already. The first event then has the
   * index `generated.length`.
   */
  generated: string[];
  /** Length of the whole answer in tokens, including `generated`. */
  maxTokens: number;
  /** Scheduling priority; lower numbers come first. */
  priority: number;
  /** Fencing number of the coordinator's lease. */
  fencing: number;
  /** The engine refuses the request if its restart counter has another value. */
  expectedRestartCount?: number;
}

/** A generated token, or the end of a completion. */
export type EngineEvent =
  | { type: "token"; requestId: string; index: number; text: string }
  /** `totalTokens` counts the whole answer, including the tokens of `generated`. */
  | { type: "end"; requestId: string; totalTokens: number; cachedTokens: number };

/** Load report of an engine, which lags behind its actual load. */
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

/** A request for which an engine holds memory. */
export interface ActiveRequest {
  requestId: string;
  tokens: number;
  /** Fencing number that the request was sent with. */
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

/** A management command to an engine. */
export interface EngineOrder {
  kind: "load_model" | "load_adapter" | "set_version" | "set_role" | "unload_model";
  name: string;
  version: string;
  fencing: number;
}

/** Limits of a call. */
export interface EngineCallOptions {
  /** Timeout of the whole call. */
  timeoutMs: Millis;
  signal?: AbortSignal;
  /** Called right before the request is written; throwing prevents it from being sent. */
  beforeSend?: () => void;
}

/** Limits of a stream. */
export interface EngineStreamOptions extends EngineCallOptions {
  /**
   * Time without received bytes after which the connection counts as broken. It applies from the
   * send on, because an engine confirms a request at once and sends progress events until the first
   * token.
   */
  idleTimeoutMs: Millis;
  /** Called with the engine's restart counter when the engine has accepted the request. */
  onAccepted?: (restartCount: number) => void;
}

/** Client of one engine. Its calls throw `EngineError` with `ran` and `code`. */
export interface EngineClient {
  readonly url: string;
  /**
   * Streams a completion; the request is sent when the first event is read. A stream that is
   * aborted, times out or is abandoned by its reader is cancelled on the engine. After any other
   * failure the request stays on the engine.
   */
  complete(req: EngineRequest, options: EngineStreamOptions): AsyncIterable<EngineEvent>;
  /**
   * Streams the events of a running or finished request, starting at a token index. Abandoning the
   * stream does not cancel the request, because another host may own it.
   */
  resume(requestId: string, from: number, options: EngineStreamOptions): AsyncIterable<EngineEvent>;
  /** Ends a request and frees its memory; also succeeds if the engine does not know it. */
  cancel(requestId: string, options: EngineCallOptions): Promise<void>;
  active(options: EngineCallOptions): Promise<ActiveRequest[]>;
  load(options: EngineCallOptions): Promise<EngineLoad>;
  cacheEvents(afterSeq: number, options: EngineCallOptions): Promise<CacheEvent[]>;
  /** Computes the KV cache of a part of a prompt, which the engine keeps under the request id. */
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
  /** Sent as the header `idempotency-key`, if set. */
  key?: string;
  /** Sent as the header `fencing-number`, if set. */
  fencing?: number;
  /** The server refuses the call if its restart counter has another value. */
  expectedRestartCount?: number;
}

/** The answer of a plain service. */
export interface ServiceResponse {
  requestId: string;
  status: number;
  contentType: string;
  body: Uint8Array;
  /** Restart counter that the server sent with its answer. */
  restartCount: number;
}

/** Client of one server of a plain service. Its calls reject with `EngineError`. */
export interface ServiceClient {
  readonly url: string;
  call(
    req: ServiceRequest,
    options: EngineCallOptions & {
      /**
       * Uses a new connection. An idle one may be unresponsive or closing, so that a call that must
       * not be repeated would end with an unknown outcome.
       */
      freshConnection?: boolean;
    },
  ): Promise<ServiceResponse>;
  /** Raises the fencing number of a key, so that the server refuses earlier attempts. */
  raiseFence(key: string, fencing: number, options: EngineCallOptions): Promise<void>;
  /** Finds the result that is stored under a key; undefined if there is none. */
  lookup(key: string, options: EngineCallOptions): Promise<ServiceResponse | undefined>;
  load(options: EngineCallOptions): Promise<EngineLoad>;
  close(): Promise<void>;
}
