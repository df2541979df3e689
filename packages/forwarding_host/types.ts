/**
 * Contracts of a forwarding host: its settings and what an adapter to a platform gives.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { RowStore } from "@jaypass/fleet";
import type { HeaderCodec } from "@jaypass/forwarding";
import type { ColdLimits, EngineReport, RetryLimits } from "@jaypass/placement";
import type { ConfigurationDocument } from "@jaypass/forwarding";

/** Settings of a forwarding host. */
export interface ForwardingHostSettings {
  /** Unique name of the host. */
  host: string;
  /** Data centre of the host. */
  dataCentre: string;
  /** Processor share of the host in cores. */
  processorShare: number;
  /** Address for callers' requests. */
  callerAddress: string;
  /** Address for readiness checks; undefined where none are made. */
  readinessAddress: string | undefined;
  /** Address of the directory; undefined where this host serves none. */
  directoryAddress: string | undefined;
  /** Address of links between hosts. */
  linkAddress: string;
  /** Address of the metrics. */
  metricsAddress: string;
  /** Time between SIGTERM and the end by force. */
  stopGraceMs: Millis;
  /** Longest time for which an answer of the directory counts. */
  maxDirectoryTtlMs: Millis;
  /** Retry limits over all hosts. */
  retryLimits: RetryLimits;
  /** Cold limits over all hosts. */
  coldLimits: ColdLimits;
}

/** What an operator's row says. */
export type OperatorEntry =
  | { kind: "configuration"; document: ConfigurationDocument }
  | { kind: "evacuation"; dataCentre: string };

/** Memory reservations on engines. */
export interface EngineMemoryClient {
  /**
   * Reserves memory or renews a reservation.
   *
   * @returns false when the engine has no room
   */
  reserve(
    server: { address: string; serverId: string },
    reservation: { ticket: string; tokens: number; holdMs: Millis },
  ): Promise<boolean>;
  /** Ends a reservation. */
  release(server: { address: string; serverId: string }, ticket: string): Promise<void>;
}

/** Reports of engines on their load. */
export interface EngineReports {
  /** Asks an engine; fails when it does not answer in time. */
  read(server: { address: string; serverId: string }, timeoutMs: Millis): Promise<EngineReport>;
}

/** The formats of the directory and of readiness checks. */
export interface PublicCalls {
  /** True for a question which addresses to use. */
  isDirectoryCall(method: string, target: string): boolean;
  /** Makes the answer of the directory. */
  formatDirectory(addresses: string[], ttlMs: Millis): string;
  /** True for a readiness check. */
  isReadinessCall(method: string, target: string): boolean;
}

/** Connects a forwarding host with a platform. */
export interface PlatformAdapter {
  /** The platform's store, with rows in the product's own format. */
  store: RowStore;
  /** Headers between callers, hosts and servers. */
  codec: HeaderCodec;
  /** Memory reservations on engines. */
  engineMemory: EngineMemoryClient;
  /** Reports of engines. */
  reports: EngineReports;
  /** Formats of public calls. */
  publicCalls: PublicCalls;
}
