import { decodeRevision } from "./decode_revision.ts";
import type { RevisionSpan } from "./messages.ts";
import { TABLE } from "./types.ts";
import type { Row, RowBatch, Table } from "./types.ts";

/** Options of {@linkcode createRowCache}. */
export interface RowCacheOptions {
  /**
   * Reports whether a row of a restored store, which is older than the known one, must not replace it.
   * By default it does.
   */
  isSetBack?: (table: Table, rows: { known: Row; restored: Row }) => boolean;
}

/** Where a batch comes from. */
export interface BatchOrigin {
  /** True for a batch of a hub, which has judged a restored store itself; false by default. */
  isFromHub?: boolean;
  /**
   * True for a whole table that was read when the writers have had time to write again what a restored
   * store lacked; false by default.
   */
  isConfirmation?: boolean;
}

/** A host's copy of the tables of the store. */
export interface RowCache {
  /** Merges a batch and returns the rows whose content changed. */
  apply(table: Table, batch: RowBatch, origin?: BatchOrigin): Row[];
  /** Reports whether rows are known that have not been seen since the store came back from a copy. */
  hasUnconfirmedRows(table: Table): boolean;
  /**
   * Extends the revision of a copy to the end of a span of revisions in which it has every change; false
   * if it lacks changes before the span.
   */
  extend(table: Table, span: RevisionSpan): boolean;
  /** Revision up to which the copy of a table is complete; undefined before the first whole table. */
  revision(table: Table): number | undefined;
  /**
   * Revision after which a hub should send the changes of a table. It is undefined also while a row
   * cannot be used and no earlier content of it is known, because a hub may know that content.
   */
  revisionForHub(table: Table): number | undefined;
  /** Rows of a table, without removed ones. */
  rows(table: Table): Row[];
  /** A row of a table, even if it was removed; undefined when it is unknown. */
  find(table: Table, key: string): Row | undefined;
  /**
   * Returns the rows that changed after a revision, or the whole table when this cache may not know
   * all removals since then.
   */
  changesSince(table: Table, revision: number | undefined): RowBatch;
}

interface CachedTable {
  revision: number | undefined;
  /** Revision after which every removal is known, because no later change was missed. */
  completeFrom: number;
  /** Revision of the first batch after the last restore; rows with later ones were written after it. */
  restoredRevision: number;
  rows: Map<string, Row>;
  /** Keys of rows that cannot be used and of which no earlier content is known. */
  unknownKeys: Set<string>;
}

/**
 * Tables in which a row that cannot be used keeps its last usable content. Servers and hosts write
 * their rows again, but without a configuration a host serves nobody.
 */
const KEEPS_CONTENT: ReadonlySet<Table> = new Set([TABLE.OPERATORS]);

/**
 * Creates a cache of rows.
 *
 * Batches may arrive from the store and from other hosts in any order. The newest version of a row
 * wins; removed rows are kept as tombstones, so that a late batch does not restore them. A row whose
 * content cannot be used counts as removed, except in the operators' table.
 *
 * A store that comes back from a copy has lost the latest changes until their writers write them again.
 * A whole table read from it removes no row from before the restore, and does not set rows back where
 * that would do harm. A later one, the confirmation, removes the rows that are still missing.
 *
 * @param options which rows are not set back
 * @returns the empty cache
 *
 * @example
 * const cache = createRowCache();
 * const changed = cache.apply(TABLE.SERVERS, batch);
 */
export function createRowCache({ isSetBack = () => false }: RowCacheOptions = {}): RowCache {
  const tables = new Map<Table, CachedTable>(
    Object.values(TABLE).map((
      table,
    ) => [table, {
      revision: undefined,
      completeFrom: Infinity,
      restoredRevision: Infinity,
      rows: new Map(),
      unknownKeys: new Set(),
    }]),
  );
  const cachedTable = (table: Table): CachedTable => {
    const copy = tables.get(table);
    if (copy === undefined) throw new RangeError(`Table "${table}" is not followed`);
    return copy;
  };

  const isRestored = (copy: CachedTable, batch: RowBatch): boolean =>
    copy.revision !== undefined &&
    decodeRevision(batch.revision).era > decodeRevision(copy.revision).era;

  const findRemoved = (copy: CachedTable, batch: RowBatch, origin: BatchOrigin): Row[] => {
    if (!batch.isWhole) return [];
    const present = new Set(batch.rows.map((row) => row.key));
    const { era } = decodeRevision(batch.revision);
    const isFinal = origin.isFromHub || (origin.isConfirmation && !isRestored(copy, batch));
    return [...copy.rows.values()]
      .filter((row) => row.value !== undefined && !present.has(row.key))
      .filter((row) => row.version <= batch.revision)
      .filter((row) => isFinal || decodeRevision(row.version).era === era)
      .map((row) => ({ key: row.key, value: undefined, version: batch.revision }));
  };

  /** Whether a row of a whole table is an older state than the one known from before the restore. */
  const isOlderState = (row: Row, known: Row | undefined): known is Row => {
    if (known === undefined) return false;
    const before = decodeRevision(known.version);
    const now = decodeRevision(row.version);
    return now.era > before.era && now.transaction < before.transaction;
  };

  const isNewer = (row: Row, known: Row | undefined): boolean => {
    if (known === undefined || row.version > known.version) return true;
    // A removal that was derived from a whole table has the revision of that table as its version.
    return row.version === known.version && row.value === undefined;
  };

  const hasGap = (copy: CachedTable, batch: RowBatch): boolean =>
    !batch.isWhole && (copy.revision === undefined || (batch.sinceRevision ?? 0) > copy.revision);

  const listPresent = (table: Table) =>
    [...cachedTable(table).rows.values()].filter((row) => row.value !== undefined);

  /** Lists the rows of a batch that replace known ones. */
  const listUsable = (table: Table, copy: CachedTable, batch: RowBatch): Row[] => {
    if (!KEEPS_CONTENT.has(table)) return batch.rows;
    for (const { key, problem } of batch.rows) {
      const isUnknown = problem !== undefined && copy.rows.get(key)?.value === undefined;
      if (isUnknown) copy.unknownKeys.add(key);
      else copy.unknownKeys.delete(key);
    }
    return batch.rows.filter((row) => row.problem === undefined);
  };

  return {
    apply(table, batch, origin = {}) {
      const copy = cachedTable(table);
      // The store may list several versions of a row in one batch.
      const newest = new Map<string, Row>();
      if (isRestored(copy, batch)) copy.restoredRevision = batch.revision;
      const removed = findRemoved(copy, batch, origin);
      for (const row of [...listUsable(table, copy, batch), ...removed]) {
        const known = newest.get(row.key) ?? copy.rows.get(row.key);
        if (!isNewer(row, known)) continue;
        const mayKeepKnown = batch.isWhole && !origin.isFromHub &&
          row.version <= copy.restoredRevision && isOlderState(row, known);
        if (mayKeepKnown && isSetBack(table, { known, restored: row })) continue;
        newest.set(row.key, row);
      }
      const newer = [...newest.values()];
      const changed = newer.filter((row) => row.value !== copy.rows.get(row.key)?.value);
      for (const row of newer) copy.rows.set(row.key, row);
      if (batch.isWhole && batch.revision > (copy.revision ?? -Infinity)) {
        copy.completeFrom = batch.revision;
      }
      // After a gap the rows are valid, but the changes in between still have to be read, so the
      // revision stays.
      if (!hasGap(copy, batch)) copy.revision = Math.max(copy.revision ?? 0, batch.revision);
      return changed;
    },
    hasUnconfirmedRows(table) {
      const { revision } = cachedTable(table);
      if (revision === undefined) return false;
      const { era } = decodeRevision(revision);
      return listPresent(table).some(({ version }) => decodeRevision(version).era < era);
    },
    extend(table, { since, until }) {
      const copy = cachedTable(table);
      if (copy.revision === undefined || since > copy.revision) return false;
      copy.revision = Math.max(copy.revision, until);
      return true;
    },
    revision: (table) => cachedTable(table).revision,
    revisionForHub(table) {
      const { revision, unknownKeys } = cachedTable(table);
      return unknownKeys.size === 0 ? revision : undefined;
    },
    rows: listPresent,
    find: (table, key) => cachedTable(table).rows.get(key),
    changesSince(table, sinceRevision) {
      const { revision, completeFrom, rows } = cachedTable(table);
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
