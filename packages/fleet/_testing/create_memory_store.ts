import { setTimeout as wait } from "node:timers/promises";
import { HistoryLostError, StoreError } from "../errors.ts";
import { TABLE } from "../types.ts";
import type { Row, RowStore, Table } from "../types.ts";

/** An in-memory store with faults that a test controls. */
export interface MemoryStore {
  /** The store as one host sees it. */
  storeFor(host: string): RowStore;
  /** Writes a row as operators and servers do. */
  write(table: Table, key: string, value: string): void;
  /** Removes a row. */
  remove(table: Table, key: string): void;
  /** Names of hosts whose calls are rejected; "all" rejects every host. */
  rejectedHosts: Set<string>;
  /** Discards the history of changes. */
  compact(): void;
  /** Number of calls so far, including rejected ones. */
  calls(): number;
}

/** Milliseconds between two checks for a change. */
const CHECK_INTERVAL_MS = 5;

/** Creates an in-memory store with the semantics of the platform's store. */
export function createMemoryStore(): MemoryStore {
  const tables = new Map<Table, Map<string, Row>>(
    Object.values(TABLE).map((table) => [table, new Map()]),
  );
  const turnedAway = new Set<string>();
  let revision = 1;
  let oldest = 0;
  let calls = 0;
  const rowsOf = (table: Table) => tables.get(table) ?? new Map<string, Row>();
  const put = (table: Table, key: string, value: string | undefined) => {
    revision += 1;
    rowsOf(table).set(key, { key, value, version: revision });
  };
  const check = (host: string) => {
    calls += 1;
    if (turnedAway.has(host) || turnedAway.has("all")) throw new StoreError("Call rejected");
  };
  return {
    rejectedHosts: turnedAway,
    write: put,
    remove: (table, key) => put(table, key, undefined),
    compact: () => void (oldest = revision),
    calls: () => calls,
    storeFor: (host) => ({
      readTable(table) {
        check(host);
        const rows = [...rowsOf(table).values()].filter((row) => row.value !== undefined);
        return Promise.resolve({ revision, rows, isWhole: true, sinceRevision: undefined });
      },
      async followTable(table, sinceRevision, { waitMs, signal }) {
        check(host);
        if (sinceRevision < oldest) throw new HistoryLostError("History was discarded");
        for (let waitedMs = 0; waitedMs < waitMs; waitedMs += CHECK_INTERVAL_MS) {
          if ([...rowsOf(table).values()].some((row) => row.version > sinceRevision)) break;
          await wait(CHECK_INTERVAL_MS, undefined, { signal });
        }
        const rows = [...rowsOf(table).values()].filter((row) => row.version > sinceRevision);
        return { revision, rows, isWhole: false, sinceRevision };
      },
      writeRow(table, key, value) {
        check(host);
        put(table, key, value);
        return Promise.resolve();
      },
      removeRow(table, key, version) {
        check(host);
        if (rowsOf(table).get(key)?.version === version) put(table, key, undefined);
        return Promise.resolve();
      },
    }),
  };
}
