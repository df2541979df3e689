import type { Millis } from "@jaypass/kernel";
import { STALE_SLACK_MS, TABLE_POLL } from "./constants.ts";
import type { Table } from "./types.ts";

/**
 * Computes the age from which on a copy of a table is stale, because a poll of it is overdue.
 *
 * @param table the table
 * @returns the age in milliseconds
 *
 * @example
 * computeStaleMs(TABLE.SERVERS); // 1_300
 */
export function computeStaleMs(table: Table): Millis {
  const { waitMs, delayMs } = TABLE_POLL[table];
  return waitMs + delayMs + STALE_SLACK_MS;
}
