/**
 * Types of the fleet: rows of the store, hosts and backend servers.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Tables of the store that the hosts keep a copy of. */
export const TABLE = {
  /** Configuration and evacuations, written by operators. */
  OPERATORS: "operators",
  /** Backend servers; each server writes its own row. */
  SERVERS: "servers",
  /** Hosts; each host writes its own row. */
  HOSTS: "hosts",
} as const;

/** A value of {@linkcode TABLE}. */
export type Table = typeof TABLE[keyof typeof TABLE];

/** Age of a copy of a table, in milliseconds; Infinity while there is none. */
export interface TableAge {
  /** Time since the copy was complete, whichever host read the store. */
  ageMs: Millis;
  /** Time since a hub itself read the table; at least `ageMs`. */
  hubAgeMs: Millis;
}

/** Table of quarantined content, which hubs read and write themselves. */
export const QUARANTINES_TABLE = "quarantines";

/** A table of the store that hosts use. */
export type StoredTable = Table | typeof QUARANTINES_TABLE;

/** A row of a table. */
export interface Row {
  /** Key within the table. */
  key: string;
  /** Content; undefined when the row was removed or its content cannot be used. */
  value: string | undefined;
  /** Revision of the transaction that last wrote or removed the row; see `encodeRevision`. */
  version: number;
  /** Why the content of the row cannot be used; undefined for valid and removed rows. */
  problem?: string;
}

/** Rows of one table as of one revision: either the whole table or the changes since a revision. */
export interface RowBatch {
  /** Newest transaction that is reflected in the batch. */
  revision: number;
  /** Rows; includes removed ones only in a batch of changes. */
  rows: Row[];
  /** True when the batch is the whole table, so that rows missing from it do not exist. */
  isWhole: boolean;
  /** Revision after which the batch contains every change; undefined for a whole table. */
  sinceRevision: number | undefined;
}

/** Limits of a call to the store. */
export interface StoreCallOptions {
  /** Milliseconds until the call times out. */
  timeoutMs: Millis;
  /** Aborts the call. */
  signal?: AbortSignal;
}

/** The platform's store, as far as the hosts use it. */
export interface RowStore {
  /** Reads a whole table. */
  readTable(table: StoredTable, options: StoreCallOptions): Promise<RowBatch>;
  /**
   * Reads the changes after a revision and waits up to `waitMs` while there are none.
   *
   * @throws {HistoryLostError} when the store no longer has the changes after the revision, or has come
   * back from a copy since
   */
  followTable(
    table: Table,
    sinceRevision: number,
    options: StoreCallOptions & { waitMs: Millis },
  ): Promise<RowBatch>;
  /** Writes a row unconditionally. */
  writeRow(
    table: StoredTable,
    key: string,
    value: string,
    options: StoreCallOptions,
  ): Promise<void>;
  /** Removes a row if it still has the given version; does nothing otherwise. */
  removeRow(
    table: StoredTable,
    key: string,
    version: number,
    options: StoreCallOptions,
  ): Promise<void>;
}

/** A host, as described by its row in the store. */
export interface HostEntry {
  /** Unique name. */
  host: string;
  /** `ip:port` on which the host accepts links of other hosts. */
  linkAddress: string;
  /** Address that callers connect to. */
  callerAddress: string;
  /** Data centre of the host. */
  dataCentre: string;
  /** Processor share; hosts with a larger one are preferred as hubs. */
  weight: number;
  /** Unique identifier of the host's process; changes with each restart. */
  incarnation: string;
}

/** States of a backend server. */
export const SERVER_STATE = { READY: "ready", DRAINING: "draining" } as const;

/** A value of {@linkcode SERVER_STATE}. */
export type ServerState = typeof SERVER_STATE[keyof typeof SERVER_STATE];

/** A backend server, as described by its row in the store. */
export interface ServerEntry {
  /** Identifier by which requests refer to the server. */
  id: string;
  /** Service that the server belongs to. */
  service: string;
  /** `ip:port` of the server. */
  address: string;
  /** Data centre of the server. */
  dataCentre: string;
  /** Maximum number of concurrent requests. */
  slots: number;
  /** Whether the server may receive new requests. */
  state: ServerState;
  /** Remaining cold time in milliseconds when the server wrote the entry. */
  coldLeftMs: Millis;
  /** Start time by the server's own wall clock; distinguishes restarts under the same id. */
  bornMs: number;
}

/** Facts of a host that every host should know, as the owner of the facts handles them. */
export interface Gossip {
  /** Lists all facts that this host knows, for a host that has just connected. */
  list(): unknown[];
  /**
   * Takes facts of another host, and passes on what is new to this one.
   *
   * @throws {DecodeError} when one of them is not valid
   */
  receive(items: unknown[]): void;
}
