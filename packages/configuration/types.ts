/**
 * Types of the configuration document and of its stored form.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** A language model that backend servers of kind `engine` serve. */
export interface ModelConfig {
  /** Largest total length of prompt and answer, in tokens. */
  contextTokens: number;
  /** Average bytes of text per token, used to estimate lengths before the engine counts tokens. */
  bytesPerToken: number;
  /** Prefill speed of one warm engine, in tokens per second. */
  prefillTokensPerSecond: number;
  /** Time per output token of one request on a warm engine, in milliseconds. */
  msPerOutputToken: number;
  /** Model version that the engines should serve. */
  version: string;
}

/** An operation of a service other than a model. */
export interface OperationConfig {
  idempotent: boolean;
}

/** A service other than a model, for example a booking service. */
export interface ServiceConfig {
  operations: Record<string, OperationConfig>;
  /** How the outcome of a call is found out when its answer was lost. */
  resolution: "none" | "lookup" | "fence";
}

/** A backend server: an engine that serves a model, or a server of another service. */
export interface BackendServerConfig {
  url: string;
  kind: "engine" | "service";
  /** Name of the model or service that it serves. */
  serves: string;
  dataCentre: string;
  /** Largest number of concurrent requests when warm. */
  warmLimit: number;
  /** Largest number of concurrent requests right after a start. */
  coldLimit: number;
  /** Capacity of the KV cache in tokens; 0 for a server of another service. */
  memoryTokens: number;
  /** Whether the server refuses requests that carry an outdated fencing token. */
  fencing: "checked" | "ignored";
  state: "in" | "leaving";
  /**
   * Index of its partition within the pool, from 0. It is assigned when the server is added and is
   * kept, so that no server moves to another coordinator when others are added.
   */
  partition?: number;
}

/** A customer of the platform. */
export interface WorkspaceConfig {
  /** SHA-256 of the API key of the workspace, in hex. */
  keyHash: string;
  /** Largest number of concurrent requests on all hosts together. */
  maxConcurrent: number;
  models: string[];
  services: string[];
}

/** A data centre (zone). */
export interface DataCentreConfig {
  region: string;
  state: "in" | "out";
  /** One-way latency to other data centres in milliseconds, by their names. */
  oneWayMs: Record<string, Millis>;
}

/** Timeouts of a caller kind during a span of hours of the day. */
export interface HourTimeout {
  /** First hour of the span, 0 to 23, local time. */
  fromHour: number;
  /** Hour at which the span ends, 1 to 24; below `fromHour` when the span crosses midnight. */
  toHour: number;
  /** Longest time until the answer is complete. */
  timeoutMs: Millis;
  /** Longest time until the first token. */
  firstTokenMs: Millis;
}

/** Timeouts of a caller kind; its spans cover each hour of the day once. */
export interface TimeoutConfig {
  /** IANA time zone, for example `Europe/Brussels`. */
  timeZone: string;
  hours: HourTimeout[];
}

/** The whole document; access tokens grant the right to change single sections. */
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

/** Entries to set in one section; the value `null` removes an entry. */
export interface SectionChange {
  section: SectionName;
  entries: Record<string, unknown>;
}

/** A stored change. */
export interface ConfigChange {
  revision: number;
  /** Unique id, by which the writer recognizes its change when the answer of the store was lost. */
  changeId: string;
  changes: SectionChange[];
  who: string;
  why: string;
  /** Wall time of the writer in milliseconds since the Unix epoch; only for display. */
  whenMs: Millis;
}

/** Read access to the current configuration of this host. */
export interface Configuration {
  revision(): number;
  document(): Readonly<ConfigDocument>;
  /** Adds a listener that is called after the document has changed. */
  onChange(listener: (document: Readonly<ConfigDocument>, revision: number) => void): void;
  /**
   * Resolves when this host has a document.
   *
   * @throws {AbortedError} when the signal aborts first
   */
  ready(signal: AbortSignal): Promise<void>;
}

/**
 * A pool of backend servers with the same model or service and data centre.
 *
 * A pool of more than 16 servers is divided into partitions, each of which is listed as a pool
 * (design, section 4.1).
 */
export interface PoolConfig {
  /** `serves@dataCentre` for partition 0, `serves@dataCentre#partition` for the others. */
  id: string;
  kind: "engine" | "service";
  serves: string;
  dataCentre: string;
  partition: number;
  /** Names of its backend servers, sorted. */
  servers: string[];
}

/** A bearer token for the administration interface, from the settings. */
export interface AdministrationToken {
  /** Name that is recorded as `who` in the history. */
  owner: string;
  /** SHA-256 of the token, in hex. */
  hash: string;
  /** Sections that the owner may change; every owner may read all sections. */
  sections: readonly SectionName[];
}

/** Content of the head row; each stored change contains it as well. */
export interface ConfigHead {
  revision: number;
  /** Revision of the newest stored snapshot; 0 stands for the empty document. */
  snapshotRevision: number;
  /** Name of the object that holds this snapshot; empty for revision 0. */
  snapshotName: string;
  /** Revision of the oldest change that is still stored. */
  oldestRevision: number;
}

/** A change as it is stored and sent between hosts. */
export interface StoredChange extends ConfigChange, ConfigHead {
  /** Change id of the previous revision; a mismatch means that the store lost accepted changes. */
  previousId: string;
}

/** A whole document with its revision and change id. */
export interface ConfigSnapshot extends ConfigHead {
  changeId: string;
  document: ConfigDocument;
}

/** The configuration of this host, with the operations that the administration needs. */
export interface ManagedConfiguration extends Configuration {
  /** Returns the current document with its revision and change id. */
  snapshot(): Readonly<ConfigSnapshot>;
  /** Returns the changes after a revision, or `undefined` when not all of them are in memory. */
  changesAfter(revision: number): StoredChange[] | undefined;
  /** Applies a change that was just stored; returns `false` unless it is the next revision. */
  applyStoredChange(change: StoredChange): boolean;
  /**
   * Reads changes from the store, or from peers when the store fails, until this host has reached
   * a revision.
   *
   * @throws {ConfigurationError} when the signal aborts first
   */
  catchUp(revision: number, signal: AbortSignal): Promise<void>;
  /** Stops the background tasks and waits for them to end. */
  stop(): Promise<void>;
}
