import test from "ava";
import { createPlacer } from "./create_placer.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";
import { JOB_OUTCOME } from "./types.ts";
import type { JobOutcome } from "./types.ts";

const IDS = ["s1", "s2", "s3", "s4"];

function setUp({ retrySlack = 100, coldUntilMs = 0 } = {}) {
  const clock = createManualClock();
  const placer = createPlacer({
    clock,
    retryLimits: { ratio: 0.2, slack: retrySlack, windowMs: 10_000 },
    coldLimits: { multiplier: 1.5, slack: 5 },
    share: () => 1,
    canQueue: () => true,
    isUncoordinated: () => false,
    seed: "a",
  });
  placer.setServices([{ name: "model", coldRequestsPerS: 10, engine: PROFILE }]);
  placer.setServers(makeServers(IDS.length).map((server) => ({ ...server, coldUntilMs })));
  clock.advance(1);
  /** Fills slots with requests whose answers have begun. */
  const fill = (count: number, serverIds = IDS) =>
    Array.from({ length: count }, (_, at) => {
      const job = makeJob({ promptTokens: 100, answerTokens: 100 });
      const serverId = serverIds[at % serverIds.length] as string;
      const places = { serverId, helperIds: [], tickets: [], partMs: 1 };
      placer.addRunning({ job, ...places, ageMs: 5_000, isWriting: true });
      return (outcome: JobOutcome) => placer.finished(job.id, outcome);
    });
  /** Places a job and ends it; returns its server or the refusal, and fails if it waits. */
  const place = (changes = { isHedge: true }) => {
    const job = makeJob({ isRetry: true, excludedIds: ["s1"], ...changes });
    const decision = placer.place(job);
    if (decision instanceof Promise) throw new Error("Job waits");
    placer.finished(job.id, JOB_OUTCOME.ANSWERED);
    return decision.kind === "placed" ? decision.serverId : decision.reason;
  };
  return { placer, fill, place };
}

// Guards against hedges that make an overload worse: load rises until prompts wait, and falls.
test("a hedge gets a server only while a quarter of the slots is free, and never waits", (t) => {
  const { placer, fill, place } = setUp();
  const ends = fill(24);
  t.not(place(), "s1");
  ends.push(...fill(1));
  t.is(place(), "no_spare_room");
  fill(8);
  t.true(placer.place(makeJob()) instanceof Promise);
  // Slots of runs that were dropped are free at once, and the prompt that waits gets one of them.
  for (const end of ends) end(JOB_OUTCOME.CANCELLED);
  t.not(place(), "no_spare_room");
});

// Guards against hedges that slow down a server that is degraded already.
test("a hedge goes to no server that is cold, suspect, leaving or full", (t) => {
  t.is(setUp({ coldUntilMs: 60_000 }).place(), "no_spare_room");
  const full = setUp();
  full.fill(16, ["s2", "s3"]);
  t.is(full.place(), "s4");
  full.placer.markLeaving("s4", 0);
  t.is(full.place(), "no_spare_room");
  const suspect = setUp();
  for (const end of suspect.fill(3, ["s2", "s3", "s4"])) end(JOB_OUTCOME.SILENT);
  t.is(suspect.place(), "no_spare_room");
});

test("hedges use at most half of the retry budget, which leaves room to other retries", (t) => {
  const { place } = setUp({ retrySlack: 20 });
  const count = (isHedge: boolean) =>
    Array.from({ length: 100 }, () => place({ isHedge })).filter((id) => IDS.includes(id)).length;
  // The limiter keeps a fifth of the budget back.
  t.deepEqual([count(true), count(false), count(true)], [8, 8, 0]);
});
