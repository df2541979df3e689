import { EventEmitter, once } from "node:events";
import { setTimeout as wait } from "node:timers/promises";
import { HistoryLostError, StoreError } from "../errors.ts";
import { QUARANTINES_TABLE, TABLE } from "../types.ts";
import type { Row, RowStore, StoredTable, Table } from "../types.ts";

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
  /** Polls that get no answer; each is the name of a host and a table, as in "h1 servers". */
  silentPolls: Set<string>;
  /** Discards the history of changes. */
  compact(): void;
  /** Number of calls so far, including rejected ones. */
  calls(): number;
}

/** Creates an in-memory store with the semantics of the platform's store. */
export function createMemoryStore(): MemoryStore {
  const tables = new Map<StoredTable, Map<string, Row>>(
    [...Object.values(TABLE), QUARANTINES_TABLE as StoredTable].map((table) => [table, new Map()]),
  );
  const turnedAway = new Set<string>();
  const silentPolls = new Set<string>();
  /** Emits the name of a table whose rows have changed. */
  const changes = new EventEmitter().setMaxListeners(0);
  let revision = 1;
  let oldest = 0;
  let calls = 0;
  const rowsOf = (table: StoredTable) => tables.get(table) ?? new Map<string, Row>();
  const put = (table: StoredTable, key: string, value: string | undefined) => {
    revision += 1;
    rowsOf(table).set(key, { key, value, version: revision });
    changes.emit(table);
  };
  const check = (host: string) => {
    calls += 1;
    if (turnedAway.has(host) || turnedAway.has("all")) throw new StoreError("Call rejected");
  };
  /** Resolves when the table changes or the time is over. */
  const waitForChange = async (
    table: Table,
    { waitMs, signal }: { waitMs: number; signal: AbortSignal | undefined },
  ) => {
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), waitMs);
    const signals = signal === undefined ? [timeout.signal] : [timeout.signal, signal];
    try {
      await once(changes, table, { signal: AbortSignal.any(signals) });
    } catch (err) {
      if (!timeout.signal.aborted) throw err;
    } finally {
      clearTimeout(timer);
    }
  };
  return {
    rejectedHosts: turnedAway,
    silentPolls,
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
      async followTable(table, sinceRevision, { waitMs, timeoutMs, signal }) {
        check(host);
        if (silentPolls.has(`${host} ${table}`)) {
          await wait(timeoutMs, undefined, { signal });
          throw new StoreError("Poll got no answer in time");
        }
        if (sinceRevision < oldest) throw new HistoryLostError("History was discarded");
        const changedRows = () =>
          [...rowsOf(table).values()].filter((row) => row.version > sinceRevision);
        if (changedRows().length === 0) await waitForChange(table, { waitMs, signal });
        return { revision, rows: changedRows(), isWhole: false, sinceRevision };
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
