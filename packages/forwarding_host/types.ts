/**
 * Types of a forwarding host: its settings and the interface of a platform adapter.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";
import type { RowStore } from "@jaypass/fleet";
import type { HeaderCodec, HedgeLimits, ServerStatus } from "@jaypass/forwarding";
import type { ColdLimits, EngineReport, RetryLimits } from "@jaypass/placement";
import type { ConfigurationDocument } from "@jaypass/forwarding";

/** Settings of a forwarding host. */
export interface ForwardingHostSettings {
  /** Unique name of the host. */
  host: string;
  /** Data centre of the host. */
  dataCentre: string;
  /** CPU share of the host in cores. */
  processorShare: number;
  /** Memory in megabytes and descriptors of the machine, from which limits on callers follow. */
  machine?: { memoryMb: number | undefined; maxDescriptors: number | undefined };
  /** True if servers cut off answers that are unread for seconds, so that the host reads them on. */
  readsAnswersOn?: boolean;
  /** Address for callers' requests. */
  callerAddress: string;
  /** Address for readiness checks; undefined if none are served. */
  readinessAddress: string | undefined;
  /** Address of the directory; undefined if this host does not serve it. */
  directoryAddress: string | undefined;
  /** Address for links from other hosts. */
  linkAddress: string;
  /** Address that serves the metrics. */
  metricsAddress: string;
  /** Time between SIGTERM and the forced end of the process. */
  stopGraceMs: Millis;
  /** Longest time for which the platform allows callers to cache an answer of the directory. */
  maxDirectoryTtlMs: Millis;
  /** Retry limits of all hosts together. */
  retryLimits: RetryLimits;
  /** Limits on requests to cold servers, of all hosts together. */
  coldLimits: ColdLimits;
  /** Limits on hedged requests; missing if they are off. */
  hedge?: HedgeLimits;
}

/** Content of a row that an operator wrote. */
export type OperatorEntry =
  | { kind: "configuration"; document: ConfigurationDocument }
  | { kind: "evacuation"; dataCentre: string };

/** Reserves and releases memory on engines. */
export interface EngineMemoryClient {
  /**
   * Reserves memory, or renews the reservation if it exists.
   *
   * @returns false if the engine has too little free memory
   */
  reserve(
    server: { address: string; serverId: string },
    reservation: { ticket: string; tokens: number; holdMs: Millis },
  ): Promise<boolean>;
  /** Releases a reservation. */
  release(server: { address: string; serverId: string }, ticket: string): Promise<void>;
}

/** Reads the load reports of engines. */
export interface EngineReports {
  /** Requests a report; rejects if the engine does not answer in time. */
  read(server: { address: string; serverId: string }, timeoutMs: Millis): Promise<EngineReport>;
  /** Finds out whether the process of an engine is still there; never rejects. */
  readStatus(
    server: { address: string; serverId: string; bornMs: number },
    timeoutMs: Millis,
  ): Promise<ServerStatus>;
}

/** Request and answer formats of the directory and of readiness checks. */
export interface PublicCalls {
  /** Reports whether a request asks for the directory. */
  isDirectoryCall(method: string, target: string): boolean;
  /** Formats the answer of the directory. */
  formatDirectory(addresses: string[], ttlMs: Millis): string;
  /** Reports whether a request is a readiness check. */
  isReadinessCall(method: string, target: string): boolean;
}

/** Connects a forwarding host to a platform. */
export interface PlatformAdapter {
  /** The platform's store, with rows converted to the format of this project. */
  store: RowStore;
  /** Converts between the platform's headers and metadata. */
  codec: HeaderCodec;
  /** Memory reservations on engines. */
  engineMemory: EngineMemoryClient;
  /** Load reports of engines. */
  reports: EngineReports;
  /** Formats of the directory and of readiness checks. */
  publicCalls: PublicCalls;
}
