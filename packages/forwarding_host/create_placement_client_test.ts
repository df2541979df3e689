import test from "ava";
import type { PlacementDecision, PlacementJob, Placer } from "@jaypass/placement";
import { createPlacementClient } from "./create_placement_client.ts";
import type { PlacementClientOptions } from "./create_placement_client.ts";
import type { JobReport } from "./create_hub_scheduler.ts";

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

const LATER = { ...JOB, elapsedMs: 2_010, remainingMs: 3_000, wholeWithinMs: 7_000 };

const PLACED: PlacementDecision = {
  kind: "placed",
  serverId: "s1",
  helperIds: [],
  tickets: [],
  partMs: 30,
  expectedMs: 50,
};

/** Creates a client whose fleet takes 2 s to return an answer. */
function setUp(answer: { by: string; decision: PlacementDecision } | undefined) {
  let nowMs = 0;
  const reports: JobReport[] = [];
  const localJobs: PlacementJob[] = [];
  const fleet: ReturnType<PlacementClientOptions["fleet"]> = {
    place() {
      nowMs += 2_000;
      return Promise.resolve(answer);
    },
    report: (report) => void reports.push(report),
  };
  const local = {
    place(job: PlacementJob) {
      localJobs.push(job);
      return PLACED;
    },
    addRunning: () => {},
  } as unknown as Placer;
  const client = createPlacementClient({
    fleet: () => fleet,
    local,
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    refreshLoad: () => Promise.resolve(),
    log: { info: () => {} } as unknown as PlacementClientOptions["log"],
    metrics: { increment: () => {} } as unknown as PlacementClientOptions["metrics"],
  });
  return { client, reports, localJobs };
}

test("a prompt for which hubs were asked in vain is placed locally with the time that it still has", async (t) => {
  const { client, localJobs } = setUp(undefined);
  await client.place(JOB);
  t.deepEqual(localJobs, [LATER]);
});

test("hubs learn of a prompt that waited at another hub with the time that it still has", async (t) => {
  const { client, reports } = setUp({ by: "h1", decision: PLACED });
  await client.place(JOB);
  t.deepEqual(reports.map((report) => report.kind === "running" && report.running.job), [LATER]);
});

// Guards against second runs where nobody knows the load of the servers.
test("a hedge without a hub is refused, and not placed locally", async (t) => {
  const { client, localJobs, reports } = setUp(undefined);
  const decision = await client.place({ ...JOB, isRetry: true, isHedge: true });
  t.deepEqual(decision, { kind: "refused", reason: "no_spare_room", retryAfterMs: 0 });
  t.deepEqual([localJobs, reports], [[], []]);
});
