import test from "ava";
import { TABLE } from "../types.ts";
import type { Table, TableAge } from "../types.ts";
import { decodeViewAges, encodeViewAges, expandView, shortenView } from "./view_ages.ts";

const AGES: Record<Table, TableAge> = {
  [TABLE.OPERATORS]: { ageMs: 20, hubAgeMs: Infinity },
  [TABLE.SERVERS]: { ageMs: 30, hubAgeMs: 40 },
  [TABLE.HOSTS]: { ageMs: 50, hubAgeMs: 50 },
};

test("the ages of all tables are decoded as they were encoded", (t) => {
  t.deepEqual(decodeViewAges(encodeViewAges((table) => AGES[table])), AGES);
});

test("ages of reads by the hub itself are not sent twice", (t) => {
  const view = encodeViewAges(() => ({ ageMs: 1.4, hubAgeMs: 1.4 }));
  t.deepEqual(view, { ageMs: 1, ownAgeMs: 1, otherAgesMs: { operators: 1, hosts: 1 } });
  t.deepEqual(decodeViewAges(view).hosts, { ageMs: 1, hubAgeMs: 1 });
});

test("the age of the servers table stands for all in a view of an earlier release", (t) => {
  const age = { ageMs: 1, hubAgeMs: 2 };
  t.deepEqual(decodeViewAges({ ageMs: 1, ownAgeMs: 2 }), {
    [TABLE.OPERATORS]: age,
    [TABLE.SERVERS]: age,
    [TABLE.HOSTS]: age,
  });
});

test("a short view states the same ages, also of tables that were never read", (t) => {
  const never = () => ({ ageMs: Infinity, hubAgeMs: Infinity });
  const own = () => ({ ageMs: 7, hubAgeMs: 7 });
  for (const ageOf of [(table: Table) => AGES[table], never, own]) {
    for (const recoveredAgoMs of [null, 12]) {
      const view = { type: "view", ...encodeViewAges(ageOf), recoveredAgoMs } as const;
      const received = expandView(JSON.parse(JSON.stringify(shortenView(view))));
      t.deepEqual(decodeViewAges(received), decodeViewAges(view));
      t.is(received.recoveredAgoMs, recoveredAgoMs);
    }
  }
});
