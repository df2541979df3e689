import { TABLE } from "./types.ts";
import type { Row, RowBatch, Table } from "./types.ts";

/** A host's copy of the rows that it follows. */
export interface RowCache {
  /** Merges a batch; returns the rows whose content changed by it. */
  apply(table: Table, batch: RowBatch): Row[];
  /** Newest revision that the copy of a table takes account of; undefined before the first batch. */
  revision(table: Table): number | undefined;
  /** Rows of a table that exist. */
  rows(table: Table): Row[];
  /** A row of a table, also one that was removed; undefined when it is not known. */
  find(table: Table, key: string): Row | undefined;
  /**
   * What a copy of a revision lacks: the rows that changed since, or the whole table where removals
   * since then may be unknown here.
   */
  changesSince(table: Table, revision: number | undefined): RowBatch;
}

interface TableCopy {
  revision: number | undefined;
  /** Revision from which on every removal is known, since the copy has no gap after it. */
  completeFrom: number;
  rows: Map<string, Row>;
}

/**
 * Creates a cache of rows. Batches may come from the store or from hosts, in any order: the newest
 * version of a row wins, and removals are remembered as such.
 *
 * @returns the cache, empty
 *
 * @example
 * const cache = createRowCache();
 * const changed = cache.apply(TABLE.SERVERS, batch);
 */
export function createRowCache(): RowCache {
  const copies = new Map<Table, TableCopy>(
    Object.values(TABLE).map((
      table,
    ) => [table, { revision: undefined, completeFrom: Infinity, rows: new Map() }]),
  );
  const copyOf = (table: Table): TableCopy => {
    const copy = copies.get(table);
    if (copy === undefined) throw new RangeError(`Table "${table}" is not followed`);
    return copy;
  };

  const findRemoved = (copy: TableCopy, batch: RowBatch): Row[] => {
    if (!batch.isWhole) return [];
    const present = new Set(batch.rows.map((row) => row.key));
    return [...copy.rows.values()]
      .filter((row) => row.value !== undefined && !present.has(row.key))
      .filter((row) => row.version <= batch.revision)
      .map((row) => ({ key: row.key, value: undefined, version: batch.revision }));
  };

  const isNewer = (row: Row, known: Row | undefined): boolean => {
    if (known === undefined || row.version > known.version) return true;
    // A removal that was found by its absence has the version of the whole batch.
    return row.version === known.version && row.value === undefined;
  };

  const hasGap = (copy: TableCopy, batch: RowBatch): boolean =>
    !batch.isWhole && (copy.revision === undefined || (batch.sinceRevision ?? 0) > copy.revision);

  const listPresent = (table: Table) =>
    [...copyOf(table).rows.values()].filter((row) => row.value !== undefined);

  return {
    apply(table, batch) {
      const copy = copyOf(table);
      const newer = [...batch.rows, ...findRemoved(copy, batch)]
        .filter((row) => isNewer(row, copy.rows.get(row.key)));
      const changed = newer.filter((row) => row.value !== copy.rows.get(row.key)?.value);
      for (const row of newer) copy.rows.set(row.key, row);
      if (batch.isWhole && batch.revision > (copy.revision ?? -Infinity)) {
        copy.completeFrom = batch.revision;
      }
      // After a gap the rows are right, but the table still has to be read from the old revision.
      if (!hasGap(copy, batch)) copy.revision = Math.max(copy.revision ?? 0, batch.revision);
      return changed;
    },
    revision: (table) => copyOf(table).revision,
    rows: listPresent,
    find: (table, key) => copyOf(table).rows.get(key),
    changesSince(table, sinceRevision) {
      const { revision, completeFrom, rows } = copyOf(table);
      if (revision === undefined) {
        return { revision: 0, rows: listPresent(table), isWhole: false, sinceRevision: undefined };
      }
      if (sinceRevision === undefined || sinceRevision < completeFrom) {
        return { revision, rows: listPresent(table), isWhole: true, sinceRevision: undefined };
      }
      const changed = [...rows.values()].filter((row) => row.version > sinceRevision);
      return { revision, rows: changed, isWhole: false, sinceRevision };
    },
  };
}
