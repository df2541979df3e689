/**
 * Contracts of the configuration document.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** A language model that engines serve. */
export interface ModelConfig {
  /** Longest prompt plus answer, in tokens. */
  contextTokens: number;
  /** Average bytes of text in a token, for estimates before the engine counts. */
  bytesPerToken: number;
  /** Prefill speed of one warm engine, in tokens per second. */
  prefillTokensPerSecond: number;
  /** Time between output tokens of one request on a warm engine. */
  msPerOutputToken: number;
  /** Version that engines should serve. */
  version: string;
}

/** An operation of a plain service. */
export interface OperationConfig {
  idempotent: boolean;
}

/** A plain service, for example the booking desk. */
export interface ServiceConfig {
  operations: Record<string, OperationConfig>;
  /** How an unknown outcome is settled. */
  resolution: "none" | "lookup" | "fence";
}

/** A model engine or a server of a plain service. */
export interface BackendServerConfig {
  url: string;
  kind: "engine" | "service";
  /** Model or service that it serves. */
  serves: string;
  dataCentre: string;
  /** Most concurrent requests when warm. */
  warmLimit: number;
  /** Most concurrent requests right after a start. */
  coldLimit: number;
  /** Memory for KV cache in tokens; 0 for a plain service. */
  memoryTokens: number;
  /** Whether it refuses orders with an old fencing number. */
  fencing: "checked" | "ignored";
  state: "in" | "leaving";
  /**
   * Partition of its pool, from 0. The administration assigns it when the server is added and keeps
   * it, so that no server moves to another coordinator when others are added.
   */
  partition?: number;
}

/** A customer of the platform. */
export interface WorkspaceConfig {
  /** SHA-256 of the workspace's key, in hex. */
  keyHash: string;
  /** Most concurrent requests in the whole system. */
  maxConcurrent: number;
  models: string[];
  services: string[];
}

/** A data centre (zone). */
export interface DataCentreConfig {
  region: string;
  state: "in" | "out";
  /** One-way latency to other data centres in milliseconds. */
  oneWayMs: Record<string, Millis>;
}

/** Timeout of a caller kind in some hours of the day. */
export interface HourTimeout {
  /** First hour, 0 to 23, local time. */
  fromHour: number;
  /** Hour after the last, 1 to 24; smaller than `fromHour` when the span crosses midnight. */
  toHour: number;
  /** Time until the whole answer. */
  timeoutMs: Millis;
  /** Time until the first token. */
  firstTokenMs: Millis;
}

/** How long a kind of caller waits. */
export interface TimeoutConfig {
  /** IANA time zone, for example `Europe/Brussels`. */
  timeZone: string;
  hours: HourTimeout[];
}

/** The whole document; each section is owned by a team. */
export interface ConfigDocument {
  models: Record<string, ModelConfig>;
  services: Record<string, ServiceConfig>;
  backendServers: Record<string, BackendServerConfig>;
  workspaces: Record<string, WorkspaceConfig>;
  dataCentres: Record<string, DataCentreConfig>;
  timeouts: Record<string, TimeoutConfig>;
}

/** Name of a section. */
export type SectionName = keyof ConfigDocument;

/** Entries set or, with `null`, removed in one section. */
export interface SectionChange {
  section: SectionName;
  entries: Record<string, unknown>;
}

/** An accepted change. */
export interface ConfigChange {
  revision: number;
  /** Random id, by which its writer finds it again after a lost answer. */
  changeId: string;
  changes: SectionChange[];
  who: string;
  why: string;
  /** Wall time of the writer, for people. */
  whenMs: Millis;
}

/** The configuration as it is in force on this host. */
export interface Configuration {
  revision(): number;
  document(): Readonly<ConfigDocument>;
  /** Called after each applied change. */
  onChange(listener: (document: Readonly<ConfigDocument>, revision: number) => void): void;
  /** Resolves when a first document is known. */
  ready(signal: AbortSignal): Promise<void>;
}

/** A pool or, with more than 16 servers, a partition of it (design, section 4.1). */
export interface PoolConfig {
  /** `serves@dataCentre` for partition 0, `serves@dataCentre#n` for the others. */
  id: string;
  kind: "engine" | "service";
  serves: string;
  dataCentre: string;
  partition: number;
  /** Names of its backend servers, sorted. */
  servers: string[];
}

/** A bearer token of a section owner, as the settings give it. */
export interface AdministrationToken {
  /** Name that the history shows as `who`. */
  owner: string;
  /** SHA-256 of the token, in hex. */
  hash: string;
  /** Sections that the owner may change; every owner may read all. */
  sections: readonly SectionName[];
}

/** What the head row tells besides the revision, carried by each change as well. */
export interface ConfigHead {
  revision: number;
  /** Revision of the newest stored snapshot; 0 stands for the empty document. */
  snapshotRevision: number;
  /** Object that holds it, empty for revision 0. */
  snapshotName: string;
  /** Oldest change that is still stored. */
  oldestRevision: number;
}

/** A change as it is stored and passed between hosts. */
export interface StoredChange extends ConfigChange, ConfigHead {
  /** Change id of the revision before; a mismatch shows a store that lost accepted changes. */
  previousId: string;
}

/** A whole document with the position that it stands for. */
export interface ConfigSnapshot extends ConfigHead {
  changeId: string;
  document: ConfigDocument;
}

/** A configuration that the administration of the same host can advance. */
export interface ManagedConfiguration extends Configuration {
  /** Revision, change id and document in force. */
  snapshot(): Readonly<ConfigSnapshot>;
  /** Changes after a revision, or `undefined` when this host no longer keeps all of them. */
  changesAfter(revision: number): StoredChange[] | undefined;
  /** Applies a change that was just stored; returns false unless it is the next one. */
  applyStoredChange(change: StoredChange): boolean;
  /**
   * Catches up from the store, or from peers when the store fails, until a revision is in force.
   *
   * @throws {ConfigurationError} when the signal aborts first
   */
  catchUp(revision: number, signal: AbortSignal): Promise<void>;
  /** Ends the background tasks and awaits them. */
  stop(): Promise<void>;
}
