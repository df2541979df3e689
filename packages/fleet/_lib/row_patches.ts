import type { RowPatch } from "../messages.ts";
import type { Row, RowBatch } from "../types.ts";
import { applyTextPatch, createTextPatch } from "./text_patch.ts";

/** Length in characters from which a row is sent as a patch; smaller rows are cheap to send whole. */
const PATCH_MIN_LENGTH = 4_096;

/**
 * Creates patches for large rows, because a single hub sends the configuration to every host and its
 * changes are small.
 *
 * @param rows changed rows
 * @param before previous versions of the rows by key
 * @returns the rows to send whole, and patches for the others
 *
 * @example
 * const { rows, patches } = createRowPatches(batch.rows, before);
 */
export function createRowPatches(
  rows: readonly Row[],
  before: ReadonlyMap<string, Row | undefined>,
): { rows: Row[]; patches: RowPatch[] } {
  const whole: Row[] = [];
  const patches: RowPatch[] = [];
  for (const row of rows) {
    const patch = createRowPatch(row, before.get(row.key));
    if (patch === undefined) whole.push(row);
    else patches.push(patch);
  }
  return { rows: whole, patches };
}

function createRowPatch(row: Row, base: Row | undefined): RowPatch | undefined {
  if (row.value === undefined || row.value.length < PATCH_MIN_LENGTH) return undefined;
  if (base?.value === undefined) return undefined;
  const patch = createTextPatch(base.value, row.value);
  return patch && { key: row.key, version: row.version, baseVersion: base.version, patch };
}

/**
 * Applies patches to the known rows and adds the results to a batch.
 *
 * @param batch batch with the rows that were sent whole
 * @param patches patches of the other rows
 * @param find finds the known row of a key
 * @returns the complete batch; undefined when a patch does not match the known version of its row
 *
 * @example
 * const batch = applyRowPatches(message.batch, message.patches, (key) => cache.find(table, key));
 */
export function applyRowPatches(
  batch: RowBatch,
  patches: readonly RowPatch[],
  find: (key: string) => Row | undefined,
): RowBatch | undefined {
  const rows = [...batch.rows];
  for (const { key, version, baseVersion, patch } of patches) {
    const known = find(key);
    // The other hub has already sent this version or a newer one.
    if (known !== undefined && known.version >= version) continue;
    if (known?.value === undefined || known.version !== baseVersion) return undefined;
    rows.push({ key, version, value: applyTextPatch(known.value, patch) });
  }
  return { ...batch, rows };
}
