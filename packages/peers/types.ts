/**
 * Types of calls between hosts.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { ZodType } from "zod";

/** CA, certificate and private key of a host in PEM. All host certificates are issued by one CA. */
export interface PeerKeys {
  ca: string;
  cert: string;
  key: string;
}

/** Mutual authentication between hosts, or `"off"`. */
export type PeerTls = "off" | PeerKeys;

/** Bytes by gRPC service name: message bodies plus the mean overhead of a call. */
export type PeerTraffic = Record<string, { sentBytes: number; receivedBytes: number }>;

/** A method of a peer service and the schemas of its messages. */
export interface PeerMethod<Req, Res> {
  /** gRPC path, for example `/jaypass.Admission/Acquire`. */
  path: string;
  req: ZodType<Req>;
  res: ZodType<Res>;
  /** Whether the method responds with a stream of messages. */
  streaming: boolean;
}

/** Context of a call, passed to its handler. */
export interface PeerContext {
  /** Aborted when the caller cancels, its deadline passes or the connection breaks. */
  signal: AbortSignal;
  /** Milliseconds until the caller's deadline, measured when the call arrived. */
  remainingMs: Millis;
}

/** Serves calls from other hosts. */
export interface PeerServer {
  handle<Req, Res>(
    method: PeerMethod<Req, Res>,
    handler: (req: Req, context: PeerContext) => Promise<Res>,
  ): void;
  handleStream<Req, Res>(
    method: PeerMethod<Req, Res>,
    handler: (req: Req, context: PeerContext) => AsyncIterable<Res>,
  ): void;
  /** Starts to accept connections and returns the bound `ip:port`. */
  listen(): Promise<string>;
  /** Total bytes of calls from other hosts. */
  traffic(): PeerTraffic;
  /** Waits up to the grace time for running calls, then cancels them and closes the server. */
  stop(graceMs: Millis): Promise<void>;
}

/** Limits of a call to a peer. */
export interface PeerCallOptions {
  timeoutMs: Millis;
  signal?: AbortSignal;
}

/** Calls other hosts over pooled connections; idle and unresponsive ones are closed. */
export interface PeerPool {
  /**
   * Calls a method.
   *
   * @throws {PeerError} whose `ran` tells whether the handler may have run
   * @throws {PeerRefusal} when the handler refused
   */
  call<Req, Res>(
    address: string,
    method: PeerMethod<Req, Res>,
    req: Req,
    options: PeerCallOptions,
  ): Promise<Res>;
  /** Calls a streaming method; fails like `call`. */
  stream<Req, Res>(
    address: string,
    method: PeerMethod<Req, Res>,
    req: Req,
    options: PeerCallOptions,
  ): AsyncIterable<Res>;
  /** Total bytes of calls to other hosts. */
  traffic(): PeerTraffic;
  /** Fails running calls and closes all connections. */
  close(): Promise<void>;
}
