import { DecodeError } from "@jaypass/kernel";
import { parseHostEntry } from "../parse_host_entry.ts";
import type { Row } from "../types.ts";

/**
 * Checks a row of the hosts table, to which other programs can write as well.
 *
 * @param row a row from the store or from another host
 * @returns the row; without its content and with the problem if it does not describe the host of its
 * key
 */
export function checkHostRow(row: Row): Row {
  if (row.value === undefined) return row;
  try {
    const { host } = parseHostEntry(JSON.parse(row.value));
    if (host !== row.key) throw new DecodeError(`Entry is of host "${host}"`);
    return row;
  } catch (err) {
    return { ...row, value: undefined, problem: String(err) };
  }
}
