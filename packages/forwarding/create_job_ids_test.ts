import test from "ava";
import { createJobIds } from "./create_job_ids.ts";

// Names that two placements shared let the end of one free what the other one used.
test("placements of requests with one id have names of their own, at one host and at others", (t) => {
  const first = createJobIds(() => 0.25);
  const second = createJobIds(() => 0.75);
  t.snapshot([first("r1"), first("r1"), first("r2"), second("r1"), second("r2")]);
});
