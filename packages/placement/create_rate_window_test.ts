import test from "ava";
import { createRateWindow } from "./create_rate_window.ts";
import { createManualClock } from "./_testing/fixtures.ts";

test("events count for the whole window and at most one bucket longer", (t) => {
  const clock = createManualClock();
  const window = createRateWindow({ clock, windowMs: 1_000, buckets: 10 });
  window.add(3);
  clock.advance(999);
  const inside = window.count();
  clock.advance(150);
  t.deepEqual([inside, window.count()], [3, 0]);
});

test("a pause longer than the window clears it", (t) => {
  const clock = createManualClock();
  const window = createRateWindow({ clock, windowMs: 1_000 });
  window.add(5);
  clock.advance(1_000_000);
  t.is(window.count(), 0);
});
