import test from "ava";
import fc from "fast-check";
import { createRunCounts } from "./create_run_counts.ts";

test("all runs count when nothing longer than a short run is asked for", (t) => {
  const counts = createRunCounts().add(0).add(100).add(3_000);
  t.is(counts.countFrom(0), 3);
  t.is(counts.countFrom(500), 3);
});

test("runs that may have been shorter do not count, and clearly longer ones do", (t) => {
  const run = fc.double({ min: 0, max: 600_000, noNaN: true });
  t.notThrows(() =>
    fc.assert(
      fc.property(fc.array(run, { maxLength: 50 }), run, (runs, limitMs) => {
        const counts = runs.reduce((sum, ranMs) => sum.add(ranMs), createRunCounts());
        const counted = counts.countFrom(limitMs);
        const isShort = limitMs <= 500;
        const longEnough = runs.filter((ranMs) => isShort || ranMs >= limitMs).length;
        const clearlyLonger = runs.filter((ranMs) => isShort || ranMs >= 1.1 * limitMs).length;
        return counted <= longEnough && counted >= clearlyLonger;
      }),
      { seed: 48 },
    )
  );
});
