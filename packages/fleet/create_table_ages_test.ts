import test from "ava";
import { createTableAges } from "./create_table_ages.ts";
import { TABLE } from "./types.ts";

function setUp() {
  let nowMs = 0;
  const ages = createTableAges({ nowMs: () => nowMs, wallMs: () => nowMs });
  return { ages, setTime: (ms: number) => void (nowMs = ms) };
}

test("the age of a table grows until a newer read of this table is recorded", (t) => {
  const { ages, setTime } = setUp();
  t.deepEqual(ages.of(TABLE.SERVERS), { ageMs: Infinity, hubAgeMs: Infinity });
  ages.record(TABLE.SERVERS, { ageMs: 10, hubAgeMs: 10 });
  setTime(500);
  ages.record(TABLE.OPERATORS, { ageMs: 0, hubAgeMs: 0 });
  t.deepEqual(ages.of(TABLE.SERVERS), { ageMs: 510, hubAgeMs: 510 });
  ages.record(TABLE.SERVERS, { ageMs: 600, hubAgeMs: 600 });
  t.deepEqual(ages.of(TABLE.SERVERS), { ageMs: 510, hubAgeMs: 510 });
});

test("a read by another host than a hub does not count as one by a hub", (t) => {
  const { ages, setTime } = setUp();
  ages.record(TABLE.HOSTS, { ageMs: 0, hubAgeMs: 0 });
  setTime(500);
  ages.record(TABLE.HOSTS, { ageMs: 0, hubAgeMs: Infinity });
  t.deepEqual(ages.of(TABLE.HOSTS), { ageMs: 0, hubAgeMs: 500 });
});
