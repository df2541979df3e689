import test from "ava";
import type { Logger, Metrics } from "@jaypass/kernel";
import { TABLE } from "../types.ts";
import type { Row } from "../types.ts";
import { createInvalidRowLog } from "./create_invalid_row_log.ts";

function setUp() {
  const lines: object[] = [];
  let count = 0;
  const log: Logger = {
    debug: () => {},
    info: () => {},
    warn: (fields) => void lines.push(fields),
    error: () => {},
    child: () => log,
  };
  const metrics: Metrics = {
    increment: () => void (count += 1),
    gauge: () => {},
    timing: () => {},
    counters: () => ({}),
    close: () => Promise.resolve(),
  };
  return { lines, count: () => count, report: createInvalidRowLog({ log, metrics }) };
}

const invalid = (key: string, version: number): Row => ({
  key,
  value: undefined,
  version,
  problem: "odd",
});

test("a row that cannot be used is logged and counted once for each version of it", (t) => {
  const { lines, count, report } = setUp();
  for (const version of [3, 3, 3, 4, 4]) report(TABLE.SERVERS, [invalid("a", version)]);
  report(TABLE.HOSTS, [invalid("a", 4)]);
  t.deepEqual(lines, [
    { table: "servers", key: "a", problem: "odd" },
    { table: "servers", key: "a", problem: "odd" },
    { table: "hosts", key: "a", problem: "odd" },
  ]);
  t.is(count(), 3);
});

test("thousands of rows that cannot be used do not flood the log", (t) => {
  const { lines, count, report } = setUp();
  const rows = Array.from({ length: 5_000 }, (_, at) => invalid(`k${at}`, 7));
  for (let read = 0; read < 3; read++) report(TABLE.SERVERS, rows);
  t.is(lines.length, 11);
  t.deepEqual(lines.at(-1), { table: "servers", count: 4_990 });
  t.is(count(), 5_000);
});
