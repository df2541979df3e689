import test from "ava";
import { applyRowPatches, createRowPatches } from "./row_patches.ts";
import type { Row, RowBatch } from "../types.ts";

const large = (count: number, version: number): Row => ({
  key: "config",
  version,
  value: JSON.stringify(
    Array.from({ length: 1_000 }, (_, at) => ({ name: `r${at}`, count: at === 7 ? count : 0 })),
  ),
});
const batchOf = (rows: Row[]): RowBatch => ({
  revision: 9,
  rows,
  isWhole: false,
  sinceRevision: 5,
});
const small: Row = { key: "s1", version: 9, value: "{}" };

test("large rows are sent as patches and restored, small and removed ones are sent whole", (t) => {
  const removed: Row = { key: "old", version: 8, value: undefined };
  const before = new Map([["config", large(1, 5)]]);
  const { rows, patches } = createRowPatches([large(2, 9), small, removed], before);
  t.deepEqual(rows, [small, removed]);
  t.true(JSON.stringify(patches).length < 200);
  const whole = applyRowPatches(batchOf(rows), patches, (key) => before.get(key));
  t.deepEqual(whole, batchOf([small, removed, large(2, 9)]));
});

test("a row without a known previous version is sent whole", (t) => {
  t.deepEqual(createRowPatches([large(2, 9)], new Map()), { rows: [large(2, 9)], patches: [] });
});

test("a patch for another version is rejected, one that makes an older version is skipped", (t) => {
  const { patches } = createRowPatches([large(2, 9)], new Map([["config", large(1, 5)]]));
  t.is(applyRowPatches(batchOf([]), patches, () => large(0, 4)), undefined);
  t.is(applyRowPatches(batchOf([]), patches, () => undefined), undefined);
  t.deepEqual(applyRowPatches(batchOf([small]), patches, () => large(3, 10)), batchOf([small]));
});
