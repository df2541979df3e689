/**
 * Contracts of the fleet: rows of the store, hosts, backend servers and links.
 *
 * @module
 */
import type { Millis } from "@jaypass/kernel";

/** Tables of the store that hosts follow. */
export const TABLE = {
  /** Configuration and evacuations, written by operators. */
  OPERATORS: "operators",
  /** Backend servers, written by themselves. */
  SERVERS: "servers",
  /** Hosts, written by themselves. */
  HOSTS: "hosts",
} as const;

/** One of {@linkcode TABLE}. */
export type Table = typeof TABLE[keyof typeof TABLE];

/** A row of a table. */
export interface Row {
  /** Key within the table. */
  key: string;
  /** Content; undefined when the row was removed. */
  value: string | undefined;
  /** Number of the transaction that wrote it. */
  version: number;
}

/** Rows as of one moment. */
export interface RowBatch {
  /** Newest transaction that the batch takes account of. */
  revision: number;
  /** Rows; removed ones only in a batch of changes. */
  rows: Row[];
  /** True when rows that are not in the batch do not exist. */
  isWhole: boolean;
  /** Revision after which the batch holds every change; undefined for a whole table. */
  sinceRevision: number | undefined;
}

/** Bounds of a call to the store. */
export interface StoreCallOptions {
  /** Milliseconds until the call is given up. */
  timeoutMs: Millis;
  /** Ends the call early. */
  signal?: AbortSignal;
}

/** The platform's store as hosts use it. */
export interface RowStore {
  /** Reads a whole table. */
  readTable(table: Table, options: StoreCallOptions): Promise<RowBatch>;
  /**
   * Waits for changes after a revision.
   *
   * @throws {HistoryLostError} when the store has dropped the changes
   */
  followTable(
    table: Table,
    sinceRevision: number,
    options: StoreCallOptions & { waitMs: Millis },
  ): Promise<RowBatch>;
  /** Writes a row whatever it holds. */
  writeRow(table: Table, key: string, value: string, options: StoreCallOptions): Promise<void>;
  /** Removes a row if it still has the version; without effect otherwise. */
  removeRow(table: Table, key: string, version: number, options: StoreCallOptions): Promise<void>;
}

/** A host as its row in the store describes it. */
export interface HostEntry {
  /** Unique name. */
  host: string;
  /** Address of links between hosts. */
  linkAddress: string;
  /** Address that callers connect to. */
  callerAddress: string;
  /** Data centre of the host. */
  dataCentre: string;
  /** Processor share, by which more able hosts are preferred as hubs. */
  weight: number;
  /** Identity of the process. */
  incarnation: string;
}

/** States of a backend server's entry. */
export const SERVER_STATE = { READY: "ready", DRAINING: "draining" } as const;

/** One of {@linkcode SERVER_STATE}. */
export type ServerState = typeof SERVER_STATE[keyof typeof SERVER_STATE];

/** A backend server as its row in the store describes it. */
export interface ServerEntry {
  /** Identity, which requests name. */
  id: string;
  /** Service that it belongs to. */
  service: string;
  /** IP address and port. */
  address: string;
  /** Data centre of the server. */
  dataCentre: string;
  /** Requests that it runs at once. */
  slots: number;
  /** Whether it may get new requests. */
  state: ServerState;
  /** Milliseconds for which it stayed cold when it wrote the entry. */
  coldLeftMs: Millis;
  /** Wall time of its start by its own clock; tells two starts under one id apart. */
  bornMs: number;
}
