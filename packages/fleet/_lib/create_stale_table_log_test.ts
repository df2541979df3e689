import test from "ava";
import type { Logger, Metrics } from "@jaypass/kernel";
import { computeStaleMs } from "../compute_stale_ms.ts";
import { TABLE } from "../types.ts";
import type { Table, TableAge } from "../types.ts";
import { createStaleTableLog } from "./create_stale_table_log.ts";

function setUp() {
  let nowMs = 0;
  const lines: { message: string; fields: object }[] = [];
  const gauges: Record<string, number> = {};
  const add = (fields: object, message: string) => void lines.push({ message, fields });
  const log: Logger = { debug: add, info: add, warn: add, error: add, child: () => log };
  const metrics: Metrics = {
    increment: () => {},
    gauge: (name, value, tags) => void (gauges[`${name} ${tags?.table}`] = value),
    timing: () => {},
    counters: () => ({}),
    close: () => Promise.resolve(),
  };
  const ages = new Map<Table, TableAge>();
  const check = createStaleTableLog({
    ageOf: (table) => ages.get(table) ?? { ageMs: Infinity, hubAgeMs: Infinity },
    describeHubs: () => ({ isHub: false, hubs: [{ hub: "h1", isReady: true, heardAgoMs: 100 }] }),
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    log,
    metrics,
  });
  const checkAt = (ms: number) => {
    nowMs = ms;
    check();
  };
  return { ages, gauges, lines, checkAt };
}

test("a table that becomes stale beside current ones is logged once, and again when it is current", (t) => {
  const { ages, gauges, lines, checkAt } = setUp();
  const limitMs = computeStaleMs(TABLE.OPERATORS);
  for (const table of Object.values(TABLE)) ages.set(table, { ageMs: 10, hubAgeMs: 10 });
  checkAt(10_000);
  t.deepEqual(lines, []);
  ages.set(TABLE.OPERATORS, { ageMs: limitMs, hubAgeMs: Infinity });
  checkAt(10_300);
  checkAt(10_600);
  t.deepEqual(lines.splice(0), [{
    message: "Copy of a table is stale",
    fields: {
      table: TABLE.OPERATORS,
      ageMs: limitMs,
      hubAgeMs: undefined,
      isHub: false,
      hubs: [{ hub: "h1", isReady: true, heardAgoMs: 100 }],
    },
  }]);
  t.is(gauges["table_age_ms servers"], 10);
  ages.set(TABLE.OPERATORS, { ageMs: 20, hubAgeMs: 20 });
  checkAt(10_900);
  t.like(lines[0], {
    message: "Copy of a table is current again",
    fields: { table: TABLE.OPERATORS, lengthMs: 600 },
  });
});

test("a table that was never read is stale as soon as the process is old enough", (t) => {
  const { lines, checkAt } = setUp();
  checkAt(computeStaleMs(TABLE.SERVERS) - 1);
  t.deepEqual(lines, []);
  checkAt(computeStaleMs(TABLE.SERVERS));
  t.is(lines.length, 1);
});
