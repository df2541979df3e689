import type { Clock, Millis } from "@jaypass/kernel";
import type { Table, TableAge } from "./types.ts";

/** The ages of a host's copies of the tables. */
export interface TableAges {
  /** Records how old the copy of a table is at most, as told by a read or by a hub. */
  record(table: Table, age: TableAge): void;
  /** Age of the copy of a table; it grows until a smaller one is recorded. */
  of(table: Table): TableAge;
}

/**
 * Creates the record of the ages of a host's tables. It outlasts the links to hubs: a copy does not get
 * newer when another hub is selected.
 *
 * @param clock monotonic time source
 * @returns the record, in which no table has been read
 *
 * @example
 * const ages = createTableAges(clock);
 * ages.record(TABLE.SERVERS, { ageMs: 0, hubAgeMs: Infinity });
 */
export function createTableAges(clock: Clock): TableAges {
  const readAt = new Map<Table, { anyMs: Millis; hubMs: Millis }>();
  const find = (table: Table) => readAt.get(table) ?? { anyMs: -Infinity, hubMs: -Infinity };
  return {
    record(table, { ageMs, hubAgeMs }) {
      const now = clock.nowMs();
      const { anyMs, hubMs } = find(table);
      readAt.set(table, {
        anyMs: Math.max(anyMs, now - ageMs, now - hubAgeMs),
        hubMs: Math.max(hubMs, now - hubAgeMs),
      });
    },
    of(table) {
      const { anyMs, hubMs } = find(table);
      return { ageMs: clock.nowMs() - anyMs, hubAgeMs: clock.nowMs() - hubMs };
    },
  };
}
