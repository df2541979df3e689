import test from "ava";
import { HARMLESS_AFTER_MS } from "./constants.ts";
import { isHarmlessRun } from "./is_harmless_run.ts";

test("a run is harmless for crashes before or shortly after the first byte once it has lasted a while", (t) => {
  for (const crashedAfterMs of [0, 50]) {
    t.false(isHarmlessRun(HARMLESS_AFTER_MS - 1, crashedAfterMs));
    t.true(isHarmlessRun(HARMLESS_AFTER_MS, crashedAfterMs));
  }
});

test("a run is not harmless for a crash at a moment that it has not clearly passed", (t) => {
  t.false(isHarmlessRun(HARMLESS_AFTER_MS, 700));
  t.false(isHarmlessRun(800, 700));
  t.true(isHarmlessRun(1_400, 700));
});

test("a whole answer is harmless for a crash at any moment", (t) => {
  t.true(isHarmlessRun(Infinity, 60_000));
});
