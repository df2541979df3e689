import test from "ava";
import { encodeRevision, QUARANTINES_TABLE } from "@jaypass/fleet";
import type { RowStore } from "@jaypass/fleet";
import { createQuarantineList, getQuarantineId } from "@jaypass/placement";
import { createQuarantineStore } from "./create_quarantine_store.ts";
import type { QuarantineStoreOptions } from "./create_quarantine_store.ts";

const FOUND = { keys: ["part:5c1e"], crashCount: 3 };
const ID = getQuarantineId(FOUND);

function createRows() {
  const rows = new Map<string, { key: string; value: string; version: number }>();
  let version = 0;
  let era = 0;
  let isAway = false;
  const writes: string[] = [];
  const check = () => {
    if (isAway) throw new Error("Store is away");
  };
  const store: Pick<RowStore, "readTable" | "writeRow" | "removeRow"> = {
    readTable(table) {
      check();
      const all = table === QUARANTINES_TABLE ? [...rows.values()] : [];
      return Promise.resolve({
        revision: encodeRevision({ era, transaction: version }),
        rows: all,
        isWhole: true,
        sinceRevision: undefined,
      });
    },
    writeRow(_table, key, value) {
      check();
      writes.push(key);
      rows.set(key, { key, value, version: ++version });
      return Promise.resolve();
    },
    removeRow(_table, key, expected) {
      check();
      if (rows.get(key)?.version === expected) rows.delete(key);
      return Promise.resolve();
    },
  };
  const restoreEmpty = () => {
    rows.clear();
    version = 0;
    era += 1;
  };
  return { rows, writes, store, restoreEmpty, setAway: (value: boolean) => void (isAway = value) };
}

function createHost(store: QuarantineStoreOptions["store"]) {
  let nowMs = 0;
  const warnings: string[] = [];
  const log = { warn: (_fields: object, message: string) => void warnings.push(message) };
  const quarantines = createQuarantineList({ nowMs: () => nowMs, wallMs: () => 0 });
  const { synchronize } = createQuarantineStore({
    store,
    quarantines,
    log: log as unknown as QuarantineStoreOptions["log"],
  });
  return { quarantines, synchronize, warnings, advance: (ms: number) => void (nowMs += ms) };
}

test("a host that starts after all others have ended knows their quarantines", async (t) => {
  const { store, writes } = createRows();
  const first = createHost(store);
  first.quarantines.add(FOUND);
  t.true(await first.synchronize());
  t.true(await first.synchronize());
  t.deepEqual(writes, [ID]);
  const second = createHost(store);
  t.true(await second.synchronize());
  t.not(second.quarantines.find(FOUND.keys), undefined);
  t.deepEqual(writes, [ID]);
});

test("a trial is stored, and a release removes the row", async (t) => {
  const { store, rows, writes } = createRows();
  const host = createHost(store);
  host.quarantines.add(FOUND);
  await host.synchronize();
  host.quarantines.countTrial(FOUND.keys);
  await host.synchronize();
  t.is(writes.length, 2);
  host.quarantines.release(FOUND.keys);
  await host.synchronize();
  t.is(rows.size, 0);
});

test("a row that an operator removes lifts the quarantine", async (t) => {
  const { store, rows, writes } = createRows();
  const host = createHost(store);
  host.quarantines.add(FOUND);
  await host.synchronize();
  rows.clear();
  await host.synchronize();
  t.is(host.quarantines.find(FOUND.keys), undefined);
  t.deepEqual([rows.size, writes.length], [0, 1]);
});

test("a store that is away changes nothing, and gets the row when it is back", async (t) => {
  const { store, rows, setAway } = createRows();
  const host = createHost(store);
  setAway(true);
  host.quarantines.add(FOUND);
  t.false(await host.synchronize());
  t.not(host.quarantines.find(FOUND.keys), undefined);
  setAway(false);
  t.true(await host.synchronize());
  t.true(rows.has(ID));
});

test("a row that cannot be read is logged once, and the others hold", async (t) => {
  const { store, rows } = createRows();
  const value = JSON.stringify({ ...FOUND, trialCount: 0, isReleased: false });
  rows.set(ID, { key: ID, value, version: 1 });
  rows.set("odd", { key: "odd", value: "{}", version: 2 });
  const host = createHost(store);
  await host.synchronize();
  await host.synchronize();
  t.not(host.quarantines.find(FOUND.keys), undefined);
  t.deepEqual(host.warnings, ["Row of a quarantine cannot be used"]);
});

test("a quarantine that a restored store lacks is written again, not lifted", async (t) => {
  const { store, rows, writes, restoreEmpty } = createRows();
  const host = createHost(store);
  host.quarantines.add(FOUND);
  t.true(await host.synchronize());
  t.true(await host.synchronize());
  restoreEmpty();
  t.true(await host.synchronize());
  t.not(host.quarantines.find(FOUND.keys), undefined);
  t.deepEqual([...rows.keys()], [ID]);
  t.deepEqual(writes, [ID, ID]);
});
