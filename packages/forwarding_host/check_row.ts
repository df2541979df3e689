import { DecodeError } from "@jaypass/kernel";
import { parseServerEntry, TABLE } from "@jaypass/fleet";
import type { Row, Table } from "@jaypass/fleet";
import { parseOperatorEntry } from "./parse_operator_entry.ts";

/**
 * Checks a row that another host sent, which may run another version.
 *
 * @param table the table of the row
 * @param row the row
 * @returns the row; without its content and with the problem if the content is not valid
 *
 * @example
 * checkRow(TABLE.SERVERS, { key: "e1", value: "null", version: 3 }).problem; // "DecodeError: ..."
 */
export function checkRow(table: Table, row: Row): Row {
  if (row.value === undefined) return row;
  try {
    const value: unknown = JSON.parse(row.value);
    if (table === TABLE.OPERATORS) parseOperatorEntry(value);
    if (table === TABLE.SERVERS && parseServerEntry(value).id !== row.key) {
      throw new DecodeError("Entry is of another server");
    }
    return row;
  } catch (err) {
    return { ...row, value: undefined, problem: String(err) };
  }
}
