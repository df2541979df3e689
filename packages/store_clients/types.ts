/**
 * Types of the clients of the platform's services.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** A row of the table service. */
export interface Row<T = unknown> {
  key: string;
  value: T;
  /** Grows by one with each write of the row; 0 stands for an absent row. */
  version: number;
}

/** What a transaction requires of a row. */
export interface Condition {
  table: string;
  key: string;
  /** Version that the row must have; 0 means that it must be absent. */
  version: number;
}

/** A write of a transaction; the value `null` deletes the row. */
export interface Write {
  table: string;
  key: string;
  value: unknown;
}

/** Conditions and writes that take effect together or not at all. */
export interface Transaction {
  conditions: readonly Condition[];
  writes: readonly Write[];
}

/** How a commit ended. `unknown` means that it may still take effect, even later. */
export type CommitResult =
  /** `versions` has the new version of each written row by `table/key`; 0 for a deleted row. */
  | { outcome: "done"; versions: Record<string, number> }
  | { outcome: "conflict"; table: string; key: string; version: number }
  | { outcome: "not_done"; cause: unknown }
  | { outcome: "unknown"; cause: unknown };

/** Limits of one call. */
export interface CallOptions {
  /** Milliseconds for the whole call with its retries. */
  timeoutMs: Millis;
  signal?: AbortSignal;
}

/** Options of a listing. */
export interface ListOptions extends CallOptions {
  /** Only keys that start with this. */
  prefix?: string;
  /** Only keys after this one, in byte order. */
  after?: string;
  /** Most rows to return; 1,000 by default. */
  limit?: number;
}

/** Client of the transactional table service. */
export interface TableClient {
  /** Reads a row. @throws {StoreError} when the service does not answer in time */
  read<T>(table: string, key: string, options: CallOptions): Promise<Row<T> | undefined>;
  /** Reads several rows of a table in one request; absent rows are left out. */
  readMany<T>(table: string, keys: readonly string[], options: CallOptions): Promise<Row<T>[]>;
  /** Lists rows in key order. */
  list<T>(table: string, options: ListOptions): Promise<Row<T>[]>;
  /** Commits a transaction; never throws. Writes are not retried after an unknown outcome. */
  commit(transaction: Transaction, options: CallOptions): Promise<CommitResult>;
}

/** Client of the object store. */
export interface ObjectClient {
  get(name: string, options: CallOptions): Promise<Uint8Array | undefined>;
  put(name: string, body: Uint8Array, options: CallOptions): Promise<void>;
  delete(name: string, options: CallOptions): Promise<void>;
}

/** An entry of the platform's host list, which is updated with a delay. */
export interface ListedHost {
  id: string;
  dataCentre: string;
  /** Address of its peer server, `ip:port`. */
  peerAddress: string;
  /** Base URL for callers, for example `http://127.0.0.1:8080`. */
  callerUrl: string;
  state: "live" | "leaving";
}

/** Client of the platform's host list. */
export interface HostListClient {
  list(options: CallOptions): Promise<ListedHost[]>;
  /** Adds or updates the entry of a host. */
  register(host: ListedHost, options: CallOptions): Promise<void>;
  /** Removes an entry. */
  remove(id: string, options: CallOptions): Promise<void>;
}

/** Client of the rate-limited weight store. */
export interface WeightClient {
  /** Size of the weights in bytes. */
  describe(name: string, version: string, options: CallOptions): Promise<{ bytes: number }>;
  /** Reserves part of the store's rate limit; `waitMs` above 0 means that the limit is reached. */
  reserve(bytes: number, options: CallOptions): Promise<{ waitMs: Millis }>;
}

/** Connections to one service, as the factories of the clients return them. */
export interface PlatformConnection {
  /** Closes the connections; running calls fail. */
  close(): Promise<void>;
}
