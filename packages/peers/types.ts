/**
 * Contracts of calls between hosts.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { ZodType } from "zod";

/** Keys of a host in PEM. Every host has its own certificate of the same CA. */
export interface PeerKeys {
  ca: string;
  cert: string;
  key: string;
}

/** Mutual authentication between hosts, or `"off"`. */
export type PeerTls = "off" | PeerKeys;

/** Bytes by gRPC service name, bodies plus the measured overhead of a call. */
export type PeerTraffic = Record<string, { sentBytes: number; receivedBytes: number }>;

/** A method of a peer service with the schemas of its messages. */
export interface PeerMethod<Req, Res> {
  /** gRPC path, for example `/jaypass.Admission/Acquire`. */
  path: string;
  req: ZodType<Req>;
  res: ZodType<Res>;
  /** A streaming method answers with any number of messages. */
  streaming: boolean;
}

/** What a handler knows of its call. */
export interface PeerContext {
  /** Aborted when the caller cancels, its deadline passes or the connection breaks. */
  signal: AbortSignal;
  /** Milliseconds that the caller will still wait. */
  remainingMs: Millis;
}

/** Serves calls of other hosts. */
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
  /** Bytes of calls from other hosts so far. */
  traffic(): PeerTraffic;
  /** Ends running calls within the grace time, then closes. */
  stop(graceMs: Millis): Promise<void>;
}

/** Limits of a call to a peer. */
export interface PeerCallOptions {
  timeoutMs: Millis;
  signal?: AbortSignal;
}

/** Calls other hosts over kept connections; idle and silent ones are closed. */
export interface PeerPool {
  /**
   * @throws {PeerError} whose `ran` says whether the handler may have run
   * @throws {PeerRefusal} when the handler refused
   */
  call<Req, Res>(
    address: string,
    method: PeerMethod<Req, Res>,
    req: Req,
    options: PeerCallOptions,
  ): Promise<Res>;
  stream<Req, Res>(
    address: string,
    method: PeerMethod<Req, Res>,
    req: Req,
    options: PeerCallOptions,
  ): AsyncIterable<Res>;
  /** Bytes of calls to other hosts so far. */
  traffic(): PeerTraffic;
  close(): Promise<void>;
}
