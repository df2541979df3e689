/**
 * Contracts with model engines and plain services.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** A completion as sent to an engine. */
export interface EngineRequest {
  requestId: string;
  model: string;
  prompt: string;
  /** Tokens already generated elsewhere, to be continued after. */
  generated: string[];
  maxTokens: number;
  /** Lower numbers first. */
  priority: number;
  /** Fencing number of the coordinator's lease. */
  fencing: number;
}

/** A token or the end of a completion. */
export type EngineEvent =
  | { type: "token"; requestId: string; index: number; text: string }
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
  timeoutMs: Millis;
  signal?: AbortSignal;
}

/** Limits of a stream. */
export interface EngineStreamOptions extends EngineCallOptions {
  /** Longest silence before the connection counts as broken, after the first event. */
  idleTimeoutMs: Millis;
}

/** Client of one engine. Its calls throw `EngineError` with `ran` and `code`. */
export interface EngineClient {
  readonly url: string;
  complete(req: EngineRequest, options: EngineStreamOptions): AsyncIterable<EngineEvent>;
  /** Streams the events of a running or finished request from a token index on. */
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
}

/** Client of one server of a plain service. Its calls throw `EngineError`. */
export interface ServiceClient {
  readonly url: string;
  call(
    req: ServiceRequest,
    options: EngineCallOptions & {
      /** A connection without proof of life is not used for a call that may not be repeated. */
      freshConnection?: boolean;
      /** Called right before bytes are written; throwing prevents the send. */
      beforeSend?: () => void;
    },
  ): Promise<ServiceResponse>;
  /** Raises the fencing number of a key so that earlier attempts are refused. */
  raiseFence(key: string, fencing: number, options: EngineCallOptions): Promise<void>;
  /** Finds the result stored under a key. */
  lookup(key: string, options: EngineCallOptions): Promise<ServiceResponse | undefined>;
  load(options: EngineCallOptions): Promise<EngineLoad>;
  close(): Promise<void>;
}
