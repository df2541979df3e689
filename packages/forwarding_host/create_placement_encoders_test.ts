import test from "ava";
import type { PlacementDecision, PlacementJob } from "@jaypass/placement";
import type { JobReport } from "./create_hub_scheduler.ts";
import { createPlacementEncoders } from "./create_placement_encoders.ts";
import { createPlacementParsers } from "./create_placement_parsers.ts";

const { encodeJob, encodeDecision, encodeReport } = createPlacementEncoders();
const { parseJob, parseDecision, parseReport } = createPlacementParsers();

const JOB: PlacementJob = {
  id: "a1.0",
  service: "m",
  promptTokens: 5_000,
  answerTokens: 120,
  goalMs: 300,
  pauseGoalMs: 0,
  remainingMs: -3.5,
  wholeWithinMs: 9_000.2,
  elapsedMs: 1.5,
  excludedIds: [],
  isRetry: false,
  fingerprint: "f",
  parts: [],
  isContinuation: false,
  isRepeatable: false,
};
const FULL: PlacementJob = {
  ...JOB,
  excludedIds: ["e1"],
  parts: ["p1"],
  isRetry: true,
  isContinuation: true,
  isRepeatable: true,
};
const PLAIN = { serverId: "e2", helperIds: [], tickets: [], partMs: 0.5 };
const SPLIT = {
  serverId: "e2",
  helperIds: ["e3"],
  tickets: [{ serverId: "e3", tokens: 10 }],
  partMs: 9,
};

const send = (value: unknown) => JSON.parse(JSON.stringify(value));

test("a job or decision is parsed as it was before it was encoded", (t) => {
  for (const job of [JOB, FULL]) t.deepEqual(parseJob(send(encodeJob(job))), job);
  const decisions: PlacementDecision[] = [
    { kind: "placed", ...PLAIN, expectedMs: 30.1 },
    { kind: "placed", ...SPLIT, expectedMs: 30 },
    { kind: "refused", reason: "no_server", retryAfterMs: 250 },
  ];
  for (const decision of decisions) {
    t.deepEqual(parseDecision(send(encodeDecision(decision))), decision);
  }
});

test("a report is parsed as it was, without what is read only before a job has its server", (t) => {
  const reports: JobReport[] = [
    { kind: "running", running: { job: JOB, ...PLAIN, ageMs: 0, isWriting: false } },
    { kind: "running", running: { job: FULL, ...SPLIT, ageMs: 3.3, isWriting: true } },
    { kind: "started", jobId: "a1.0" },
    { kind: "finished", jobId: "a1.0", outcome: "broken", faultyServerId: "e2" },
    { kind: "leaving", serverId: "e2", bornMs: 7 },
  ];
  for (const report of reports) {
    const expected = report.kind === "running"
      ? {
        ...report,
        running: {
          ...report.running,
          job: { ...report.running.job, excludedIds: [], wholeWithinMs: 0 },
        },
      }
      : report;
    t.deepEqual(parseReport(send(encodeReport(report))), expected);
  }
});

test("times are sent to a tenth of a millisecond", (t) => {
  const parsed = parseJob(send(encodeJob({ ...JOB, remainingMs: 4_987.123456789 })));
  t.is(parsed.remainingMs, 4_987.1);
});
