import test from "ava";
import { DateTime } from "luxon";
import { exampleDocument } from "./_testing/example_document.ts";
import { ConfigurationError, resolveTimeout } from "./mod.ts";

const document = exampleDocument();

/** Returns the first-token timeout at a UTC time. */
function firstTokenMsAt(kind: string, utc: string): number {
  return resolveTimeout(document, kind, DateTime.fromISO(utc, { zone: "utc" }).toMillis())
    .firstTokenMs;
}

/** Returns the timeout of the whole answer at a UTC time. */
function timeoutMsAt(kind: string, utc: string): number {
  return resolveTimeout(document, kind, DateTime.fromISO(utc, { zone: "utc" }).toMillis())
    .timeoutMs;
}

test("a span across midnight applies before and after midnight", (t) => {
  // Brussels is one hour ahead of UTC in January.
  t.is(firstTokenMsAt("parent", "2026-01-10T20:59:59.999Z"), 2_000);
  t.is(firstTokenMsAt("parent", "2026-01-10T21:00:00Z"), 5_000);
  t.is(firstTokenMsAt("parent", "2026-01-10T23:00:00Z"), 5_000);
  t.is(firstTokenMsAt("parent", "2026-01-11T05:59:59.999Z"), 5_000);
  t.is(firstTokenMsAt("parent", "2026-01-11T06:00:00Z"), 2_000);
});

test("the span ends at the local hour before and after both clock changes in Brussels", (t) => {
  // Clocks go forward on 29 March 2026 and back on 25 October 2026, at 01:00 UTC.
  t.is(firstTokenMsAt("parent", "2026-03-28T06:00:00Z"), 2_000);
  t.is(firstTokenMsAt("parent", "2026-03-29T04:59:59Z"), 5_000);
  t.is(firstTokenMsAt("parent", "2026-03-29T05:00:00Z"), 2_000);
  t.is(firstTokenMsAt("parent", "2026-10-24T05:00:00Z"), 2_000);
  t.is(firstTokenMsAt("parent", "2026-10-25T05:00:00Z"), 5_000);
  t.is(firstTokenMsAt("parent", "2026-10-25T06:00:00Z"), 2_000);
});

test("skipped and repeated hours in Toronto have one timeout", (t) => {
  // Clocks go from 02:00 to 03:00 on 8 March 2026 at 07:00 UTC.
  t.is(timeoutMsAt("pump", "2026-03-08T06:59:59Z"), 1_000);
  t.is(timeoutMsAt("pump", "2026-03-08T07:00:00Z"), 2_000);
  // Clocks go from 02:00 back to 01:00 on 1 November 2026 at 06:00 UTC; 01:00 to 02:00 repeats.
  t.is(timeoutMsAt("pump", "2026-11-01T05:30:00Z"), 1_000);
  t.is(timeoutMsAt("pump", "2026-11-01T06:30:00Z"), 1_000);
  t.is(timeoutMsAt("pump", "2026-11-01T07:59:59Z"), 1_000);
  t.is(timeoutMsAt("pump", "2026-11-01T08:00:00Z"), 2_000);
});

test("every hour of a year has a timeout", (t) => {
  const startMs = Date.UTC(2026, 0, 1);
  for (let hour = 0; hour < 365 * 24; hour++) {
    for (const kind of ["parent", "pump"]) {
      t.notThrows(() => resolveTimeout(document, kind, startMs + hour * 3_600_000));
    }
  }
});

test("an unknown caller kind is refused, also one that is a property of every object", (t) => {
  for (const kind of ["nobody", "toString"]) {
    t.throws(() => resolveTimeout(document, kind, 0), { instanceOf: ConfigurationError });
  }
});
