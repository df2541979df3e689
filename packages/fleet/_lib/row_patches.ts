import type { RowPatch } from "../messages.ts";
import type { Row, RowBatch } from "../types.ts";
import { applyTextPatch, createTextPatch } from "./text_patch.ts";

/** Characters from which a row goes out as a patch; a smaller one is cheap to send whole. */
const PATCH_MIN_LENGTH = 4_096;

/**
 * Describes large rows by their older versions, since the configuration goes to every host over the
 * link of one, and its changes are small.
 *
 * @param rows changed rows
 * @param before the rows as they were, by key
 * @returns the rows that go out whole, and the patches of the others
 *
 * @example
 * const { rows, patches } = patchRows(batch.rows, before);
 */
export function createRowPatches(
  rows: readonly Row[],
  before: ReadonlyMap<string, Row | undefined>,
): { rows: Row[]; patches: RowPatch[] } {
  const whole: Row[] = [];
  const patches: RowPatch[] = [];
  for (const row of rows) {
    const patch = describePatch(row, before.get(row.key));
    if (patch === undefined) whole.push(row);
    else patches.push(patch);
  }
  return { rows: whole, patches };
}

function describePatch(row: Row, base: Row | undefined): RowPatch | undefined {
  if (row.value === undefined || row.value.length < PATCH_MIN_LENGTH) return undefined;
  if (base?.value === undefined) return undefined;
  const patch = createTextPatch(base.value, row.value);
  return patch && { key: row.key, version: row.version, baseVersion: base.version, patch };
}

/**
 * Makes the rows of a batch whole again.
 *
 * @param batch the rows that came whole
 * @param patches the others
 * @param find finds the known row of a key
 * @returns the whole batch; undefined when a patch does not fit the known rows
 *
 * @example
 * const batch = unpatchRows(message.batch, message.patches, (key) => cache.find(table, key));
 */
export function applyRowPatches(
  batch: RowBatch,
  patches: readonly RowPatch[],
  find: (key: string) => Row | undefined,
): RowBatch | undefined {
  const rows = [...batch.rows];
  for (const { key, version, baseVersion, patch } of patches) {
    const known = find(key);
    // The row, or a newer one, came from the other hub already.
    if (known !== undefined && known.version >= version) continue;
    if (known?.value === undefined || known.version !== baseVersion) return undefined;
    rows.push({ key, version, value: applyTextPatch(known.value, patch) });
  }
  return { ...batch, rows };
}
