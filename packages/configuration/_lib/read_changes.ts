import type { TableClient } from "@jaypass/store_clients";
import { CHANGES_PER_READ, CONFIG_TABLE, STORE_READ_TIMEOUT_MS } from "../constants.ts";
import type { StoredChange } from "../types.ts";
import { changeKey } from "./change_key.ts";
import { storedChangeSchema } from "./stored_schemas.ts";

/**
 * Reads the changes of a range of revisions, without those that are not stored.
 *
 * @param first lowest revision
 * @param last highest revision
 * @param options table client and signal
 * @returns the changes, sorted by revision
 * @throws {StoreError} when a read fails
 */
export async function readChanges(
  first: number,
  last: number,
  options: { table: TableClient; signal: AbortSignal },
): Promise<StoredChange[]> {
  const changes: StoredChange[] = [];
  for (let from = first; from <= last; from += CHANGES_PER_READ) {
    const to = Math.min(last, from + CHANGES_PER_READ - 1);
    const keys = Array.from({ length: to - from + 1 }, (_, n) => changeKey(from + n));
    const call = { timeoutMs: STORE_READ_TIMEOUT_MS, signal: options.signal };
    const rows = await options.table.readMany(CONFIG_TABLE, keys, call);
    changes.push(...rows.map((row) => storedChangeSchema.parse(row.value)));
  }
  return changes.sort((a, b) => a.revision - b.revision);
}
