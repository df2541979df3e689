import type { Clock, Millis } from "@jaypass/kernel";

/** A row as the table service shows it. */
export interface StoredRow {
  key: string;
  value: unknown;
  version: number;
}

interface RowVersion {
  value: unknown;
  version: number;
  atMs: Millis;
}

/** A transaction in its published form. */
export interface StoredTransaction {
  conditions: { table: string; key: string; version: number }[];
  writes: { table: string; key: string; value?: unknown }[];
}

/** Versions kept of each row for reads that answer from the past. */
const HISTORY_LENGTH = 32;

/** Rows listed when a request names no limit. */
const DEFAULT_LIST_LIMIT = 1_000;

/**
 * Creates the rows of the table service with the recent history of each.
 *
 * The version of a deleted row is remembered, so that a row that is inserted again never repeats a
 * version that a slow client may still compare with.
 */
export function createTableState(clock: Clock) {
  const tables = new Map<string, Map<string, RowVersion[]>>();

  const rowsOf = (table: string) => {
    let rows = tables.get(table);
    if (rows === undefined) tables.set(table, rows = new Map());
    return rows;
  };
  const at = (history: RowVersion[] | undefined, ageMs: Millis): RowVersion | undefined => {
    const untilMs = clock.nowMs() - ageMs;
    const found = history?.findLast((entry) => ageMs === 0 || entry.atMs <= untilMs);
    return found === undefined || found.value === null ? undefined : found;
  };
  const currentVersion = (table: string, key: string) =>
    at(rowsOf(table).get(key), 0)?.version ?? 0;

  return {
    read(table: string, keys: string[], ageMs: Millis): StoredRow[] {
      const rows = rowsOf(table);
      return keys.flatMap((key) => {
        const found = at(rows.get(key), ageMs);
        return found ? [{ key, value: found.value, version: found.version }] : [];
      });
    },
    list(
      table: string,
      options: { prefix?: string; after?: string; limit?: number },
      ageMs: Millis,
    ): StoredRow[] {
      const { prefix = "", after = "", limit = DEFAULT_LIST_LIMIT } = options;
      const keys = [...rowsOf(table).keys()].filter((key) => key.startsWith(prefix) && key > after);
      const listed: StoredRow[] = [];
      for (const key of keys.sort()) {
        if (listed.length >= limit) break;
        listed.push(...this.read(table, [key], ageMs));
      }
      return listed;
    },
    commit(transaction: StoredTransaction) {
      for (const { table, key, version } of transaction.conditions) {
        const current = currentVersion(table, key);
        if (current !== version) return { conflict: { table, key, version: current } };
      }
      const versions: Record<string, number> = {};
      for (const { table, key, value = null } of transaction.writes) {
        const rows = rowsOf(table);
        const history = rows.get(key) ?? [];
        const version = (history.at(-1)?.version ?? 0) + 1;
        history.push({ value, version, atMs: clock.nowMs() });
        if (history.length > HISTORY_LENGTH) history.shift();
        rows.set(key, history);
        versions[`${table}/${key}`] = value === null ? 0 : version;
      }
      return { versions };
    },
  };
}
