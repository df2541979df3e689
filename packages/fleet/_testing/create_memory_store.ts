import { setTimeout as wait } from "node:timers/promises";
import { HistoryLostError, StoreError } from "../errors.ts";
import { TABLE } from "../types.ts";
import type { Row, RowStore, Table } from "../types.ts";

/** A store in memory, whose faults a test switches. */
export interface MemoryStore {
  /** The store as one host sees it. */
  storeFor(host: string): RowStore;
  /** Writes a row as operators and servers do. */
  write(table: Table, key: string, value: string): void;
  /** Removes a row. */
  remove(table: Table, key: string): void;
  /** Hosts that are turned away; all of them with "all". */
  rejectedHosts: Set<string>;
  /** Drops the history of changes. */
  compact(): void;
  /** Calls made so far, also refused ones. */
  calls(): number;
}

/** Milliseconds between two looks for a change. */
const LOOK_MS = 5;

/** Creates a store in memory with the rules of the platform's one. */
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
    if (turnedAway.has(host) || turnedAway.has("all")) throw new StoreError("Turned away");
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
        if (sinceRevision < oldest) throw new HistoryLostError("History is gone");
        for (let waitedMs = 0; waitedMs < waitMs; waitedMs += LOOK_MS) {
          if ([...rowsOf(table).values()].some((row) => row.version > sinceRevision)) break;
          await wait(LOOK_MS, undefined, { signal });
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
