import test from "ava";
import type { PlacementJob } from "@jaypass/placement";
import { ageJob } from "./age_job.ts";

const JOB: PlacementJob = {
  id: "r1.0",
  service: "model",
  promptTokens: 5_000,
  answerTokens: 100,
  goalMs: 300,
  pauseGoalMs: 250,
  remainingMs: 5_000,
  wholeWithinMs: 9_000,
  elapsedMs: 10,
  excludedIds: [],
  isRetry: false,
  fingerprint: "f",
  parts: [],
  isContinuation: false,
  isRepeatable: true,
};

test("a job that has waited is older and has less time left, also for its whole answer", (t) => {
  const times = { elapsedMs: 2_010, remainingMs: 3_000, wholeWithinMs: 7_000 };
  t.deepEqual(ageJob(JOB, 2_000), { ...JOB, ...times });
});
