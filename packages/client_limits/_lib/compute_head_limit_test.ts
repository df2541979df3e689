import test from "ava";
import { computeHeadLimit } from "./compute_head_limit.ts";

const MEGABYTE = 1024 * 1024;

// Without the limit a machine of 602 MB counted more heads than its heap of 120 MB holds.
test("heads take a part of the heap that leaves room for the program", (t) => {
  t.true(computeHeadLimit(132 * MEGABYTE) < 66 * MEGABYTE);
  t.is(computeHeadLimit(10 * MEGABYTE), 16 * MEGABYTE);
});
