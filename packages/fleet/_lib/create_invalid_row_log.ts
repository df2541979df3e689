import type { Logger, Metrics } from "@jaypass/kernel";
import type { Row, Table } from "../types.ts";

/** Lines for the rows of one batch; a count stands for the others. */
const MAX_LINES_PER_BATCH = 10;

/** Rows whose last reported version is kept; all are forgotten beyond that. */
const MAX_REPORTED_ROWS = 10_000;

/**
 * Creates the log of rows that cannot be used. A version of a row is logged and counted once,
 * however often it is read.
 *
 * @param options log, and metrics that receive the counter `invalid_row`
 * @returns the function that receives the rows of each batch
 */
export function createInvalidRowLog(
  options: { log: Logger; metrics: Metrics },
): (table: Table, rows: readonly Row[]) => void {
  const { log, metrics } = options;
  const reportedVersions = new Map<string, number>();

  const isNew = (table: Table, row: Row): boolean => {
    const key = `${table}/${row.key}`;
    if (row.problem === undefined) {
      reportedVersions.delete(key);
      return false;
    }
    if (reportedVersions.get(key) === row.version) return false;
    if (reportedVersions.size >= MAX_REPORTED_ROWS) reportedVersions.clear();
    reportedVersions.set(key, row.version);
    return true;
  };

  return (table, rows) => {
    const invalid = rows.filter((row) => isNew(table, row));
    for (const { key, problem } of invalid.slice(0, MAX_LINES_PER_BATCH)) {
      log.warn({ table, key, problem }, "Row cannot be used");
    }
    for (const _ of invalid) metrics.increment("invalid_row", { table });
    const count = invalid.length - MAX_LINES_PER_BATCH;
    if (count > 0) log.warn({ table, count }, "More rows cannot be used");
  };
}
