import test from "ava";
import { createPlacer } from "./create_placer.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";
import { JOB_OUTCOME } from "./types.ts";
import type { PlacementJob, PlacementServer } from "./types.ts";

const SERVER_COUNT = 4;

function setUp(
  { retrySlack = 100, retryRatio = 0.2, change = (server: PlacementServer) => server } = {},
) {
  const clock = createManualClock();
  const placer = createPlacer({
    clock,
    retryLimits: { ratio: retryRatio, slack: retrySlack, windowMs: 10_000 },
    coldLimits: { multiplier: 1.5, slack: 5 },
    share: () => 1,
    canQueue: () => true,
    isUncoordinated: () => false,
    seed: "a",
  });
  placer.setServices([{ name: "model", coldRequestsPerS: 10, engine: PROFILE }]);
  placer.setServers(makeServers(SERVER_COUNT).map(change));
  clock.advance(1);
  return { clock, placer };
}

const makeHedge = (changes: Partial<PlacementJob> = {}) =>
  makeJob({ isRetry: true, isHedge: true, excludedIds: ["s1"], ...changes });

type Placer = ReturnType<typeof setUp>["placer"];

/** Returns the server of a hedge, or the reason why it is refused; fails if the hedge waits. */
function placeHedge(placer: Placer, job = makeHedge()) {
  const decision = placer.place(job);
  if (decision instanceof Promise) throw new Error("Hedge waits");
  return decision.kind === "placed" ? decision.serverId : decision.reason;
}

/** Fills slots with requests whose answers have begun. */
function fill(placer: Placer, count: number, serverIds = ["s1", "s2", "s3", "s4"]): PlacementJob[] {
  return Array.from({ length: count }, (_, at) => {
    const job = makeJob({ promptTokens: 100, answerTokens: 100 });
    const serverId = serverIds[at % serverIds.length] as string;
    const places = { serverId, helperIds: [], tickets: [], partMs: 1 };
    placer.addRunning({ job, ...places, ageMs: 5_000, isWriting: true });
    return job;
  });
}

test("a hedge goes to another server while a quarter of the slots is free", (t) => {
  const { placer } = setUp();
  const jobs = fill(placer, 23);
  t.not(placeHedge(placer), "s1");
  fill(placer, 2);
  t.is(placeHedge(placer), "no_spare_room");
  // The slot of a run that was dropped is free at once.
  for (const job of jobs.slice(0, 4)) placer.finished(job.id, JOB_OUTCOME.CANCELLED);
  t.not(placeHedge(placer), "no_spare_room");
});

test("a hedge never waits, and gets no slot while prompts wait", (t) => {
  const { placer } = setUp();
  fill(placer, 32);
  const waiting = placer.place(makeJob());
  t.true(waiting instanceof Promise);
  t.is(placeHedge(placer), "no_spare_room");
  placer.finished("none", JOB_OUTCOME.CANCELLED);
  t.is(placeHedge(placer), "no_spare_room");
});

// Guards against hedges that slow a server down which is in trouble already.
test("a hedge goes to no server that is cold, suspect, leaving or full", (t) => {
  const cold = setUp({ change: (server) => ({ ...server, coldUntilMs: 60_000 }) });
  t.is(placeHedge(cold.placer), "no_spare_room");

  const full = setUp();
  fill(full.placer, 16, ["s2", "s3"]);
  t.is(placeHedge(full.placer), "s4");
  full.placer.markLeaving("s4", 0);
  t.is(placeHedge(full.placer), "no_spare_room");

  const suspect = setUp();
  for (const serverId of ["s2", "s3", "s4"]) {
    const job = makeJob();
    const places = { serverId, helperIds: [], tickets: [], partMs: 1 };
    suspect.placer.addRunning({ job, ...places, ageMs: 0, isWriting: false });
    suspect.placer.finished(job.id, JOB_OUTCOME.SILENT);
  }
  t.is(placeHedge(suspect.placer), "no_spare_room");
});

test("hedges use at most half of the retry budget, which leaves room to other retries", (t) => {
  const { placer } = setUp({ retrySlack: 20 });
  const place = (job: PlacementJob) => {
    const result = placeHedge(placer, job);
    placer.finished(job.id, JOB_OUTCOME.ANSWERED);
    return result.startsWith("s");
  };
  const countPlaced = (makeNext: () => PlacementJob) =>
    Array.from({ length: 100 }, () => place(makeNext())).filter(Boolean).length;
  // The limiter keeps a fifth of the budget back.
  t.is(countPlaced(makeHedge), 8);
  t.is(countPlaced(() => makeJob({ isRetry: true })), 8);
  t.is(countPlaced(makeHedge), 0);
});

// Guards against hedges that make an overload worse: load rises until all slots are taken.
test("under rising load hedges end before prompts wait", (t) => {
  const { placer } = setUp();
  const placedAt: number[] = [];
  for (let running = 0; running < SERVER_COUNT * 8; running++) {
    const job = makeHedge();
    if (placeHedge(placer, job) !== "no_spare_room") placedAt.push(running);
    placer.finished(job.id, JOB_OUTCOME.CANCELLED);
    fill(placer, 1, [`s${1 + running % SERVER_COUNT}`]);
  }
  t.deepEqual(placedAt, Array.from({ length: 25 }, (_, at) => at));
});
