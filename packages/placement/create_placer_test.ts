import test from "ava";
import { createPlacer } from "./create_placer.ts";
import type { Placer } from "./placer_types.ts";
import { QUARANTINE_CRASH_COUNT } from "./constants.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";
import { JOB_OUTCOME } from "./types.ts";
import type { PlacementDecision, PlacementJob } from "./types.ts";

function setUp(
  options: {
    servers?: number;
    share?: number;
    coldRequestsPerS?: number;
    seed?: string;
    isAlone?: boolean;
    canWait?: boolean;
  } = {},
) {
  const clock = createManualClock();
  const placer = createPlacer({
    clock,
    retryLimits: { ratio: 0.2, slack: 10, windowMs: 10_000 },
    coldLimits: { multiplier: 1.5, slack: 5 },
    share: () => options.share ?? 1,
    canQueue: () => options.canWait ?? false,
    isUncoordinated: () => options.isAlone ?? false,
    seed: options.seed ?? "",
  });
  placer.setServices([
    { name: "model", coldRequestsPerS: options.coldRequestsPerS ?? 0, engine: PROFILE },
    { name: "plain", coldRequestsPerS: 0 },
  ]);
  placer.setServers([...makeServers(options.servers ?? 4)]);
  const place = (job: PlacementJob) => placeNow(placer, job);
  return { clock, placer: { ...placer, place, placeLater: placer.place } };
}

/** Places with a placer that lets no job wait. */
function placeNow(placer: Placer, job: PlacementJob): PlacementDecision {
  const decision = placer.place(job);
  if (decision instanceof Promise) throw new Error("Job waits");
  return decision;
}

function describe(decision: PlacementDecision) {
  if (decision.kind === "refused") return `refused: ${decision.reason}`;
  const { serverId, helperIds, tickets } = decision;
  return { serverId, helpers: helperIds.length, tickets: tickets.map(({ tokens }) => tokens) };
}

function placeAndAnswer(placer: ReturnType<typeof setUp>["placer"], job: PlacementJob) {
  const decision = placer.place(job);
  placer.started(job.id);
  return decision;
}

test("short prompts are packed while long ones get engines without writers", (t) => {
  const { placer } = setUp();
  const short = Array.from({ length: 3 }, () => describe(placeAndAnswer(placer, makeJob())));
  const long = placer.place(makeJob({ promptTokens: 180_000, goalMs: 4_000, pauseGoalMs: 1_000 }));
  t.snapshot({ short, long: describe(long) });
});

test("a prompt larger than an engine's memory gets tickets for the rest", (t) => {
  const { placer } = setUp();
  const job = makeJob({ promptTokens: 900_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  t.snapshot(describe(placer.place(job)));
});

test("a job that waits and was sent by its host meanwhile counts once, until it ends", async (t) => {
  const { clock, placer } = setUp({ servers: 1, canWait: true });
  const long = (id: string) =>
    makeJob({ id, promptTokens: 180_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  placer.place(long("first"));
  // The hub lets the job wait, and its host does not hear of it in time.
  const waiting = placer.placeLater(long("second"));
  const running = { serverId: "s1", helperIds: [], tickets: [], partMs: 3_900, isWriting: false };
  placer.addRunning({ ...running, job: long("second"), ageMs: 0 });
  t.is((await waiting).kind, "refused");
  for (const id of ["first", "second"]) placer.finished(id, JOB_OUTCOME.ANSWERED);
  clock.advance(100);
  placer.dispatchReady();
  t.is(placer.place(long("third")).kind, "placed");
});

test("a prompt larger than all engines together is refused at once", (t) => {
  const { placer } = setUp({ servers: 2 });
  const job = makeJob({ promptTokens: 900_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  t.is(describe(placer.place(job)), "refused: too_large");
});

test("memory of helpers stays taken until the answer has ended", (t) => {
  const { placer } = setUp({ servers: 3 });
  const first = makeJob({ promptTokens: 900_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  placeAndAnswer(placer, first);
  const second = makeJob({ promptTokens: 900_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  const during = describe(placer.place(second));
  placer.finished(first.id, JOB_OUTCOME.ANSWERED);
  const after = placer.place(makeJob({ ...second, id: "again" })).kind;
  t.deepEqual({ during, after }, { during: "refused: too_large", after: "placed" });
});

test("a server that failed is avoided and tried again later", (t) => {
  const { placer, clock } = setUp({ servers: 2 });
  const failed = makeJob();
  const first = placer.place(failed);
  placer.finished(failed.id, JOB_OUTCOME.SILENT);
  const other = placer.place(makeJob());
  clock.advance(10_000);
  const ids = new Set(
    Array.from({ length: 12 }, () => placer.place(makeJob()))
      .flatMap((decision) => decision.kind === "placed" ? [decision.serverId] : []),
  );
  t.true(first.kind === "placed" && other.kind === "placed");
  if (first.kind !== "placed" || other.kind !== "placed") return;
  t.not(first.serverId, other.serverId);
  t.is(ids.size, 2);
});

test("retries are refused beyond the budget, and the share of one host is smaller", (t) => {
  const countRetries = (share: number) => {
    const { placer } = setUp({ share });
    return Array.from({ length: 20 }, () => placer.place(makeJob({ isRetry: true })))
      .filter((decision) => decision.kind === "placed").length;
  };
  t.deepEqual([countRetries(1), countRetries(0.5)], [8, 4]);
});

test("a request whose servers break off is quarantined, and an answer clears it", (t) => {
  const { placer, clock } = setUp({ servers: 8 });
  const breakOff = (fingerprint: string) => {
    const job = makeJob({ fingerprint });
    placer.place(job);
    placer.finished(job.id, JOB_OUTCOME.BROKEN);
  };
  for (let count = 0; count < QUARANTINE_CRASH_COUNT; count++) {
    breakOff("poison");
    breakOff("innocent");
    const job = makeJob({ fingerprint: "innocent" });
    placer.place(job);
    placer.finished(job.id, JOB_OUTCOME.ANSWERED);
  }
  const poison = describe(placer.place(makeJob({ fingerprint: "poison" })));
  const innocent = placer.place(makeJob({ fingerprint: "innocent" })).kind;
  clock.advance(120_000);
  const later = placer.place(makeJob({ fingerprint: "poison" })).kind;
  t.deepEqual(
    { poison, innocent, later },
    { poison: "refused: quarantined", innocent: "placed", later: "placed" },
  );
});

test("a cold server gets no more a second than its limit", (t) => {
  const { placer, clock } = setUp({ servers: 0, coldRequestsPerS: 10 });
  placer.setServers(makeServers(1).map((server) => ({ ...server, coldUntilMs: 5_000 })));
  const count = () => {
    const jobs = Array.from({ length: 40 }, () => makeJob());
    const placed = jobs.filter((job) => placer.place(job).kind === "placed");
    for (const job of jobs) placer.finished(job.id, JOB_OUTCOME.ANSWERED);
    return placed.length;
  };
  const cold = count();
  clock.advance(6_000);
  t.deepEqual({ cold, warm: count() }, { cold: 14, warm: 40 });
});

test("a server that starts again under its id has no load of before", (t) => {
  const { placer } = setUp({ servers: 1 });
  const job = makeJob({ promptTokens: 300_000, goalMs: 4_000 });
  placer.place(job);
  const full = placer.place(makeJob({ promptTokens: 300_000 })).kind;
  placer.setServers(makeServers(1).map((server) => ({ ...server, bornMs: 7 })));
  t.deepEqual([full, placer.place(makeJob({ promptTokens: 300_000 })).kind], ["refused", "placed"]);
});

test("requests of plain services go to the least loaded server", (t) => {
  const { placer } = setUp({ servers: 0 });
  placer.setServers(makeServers(3, "plain"));
  const job = () => makeJob({ service: "plain", promptTokens: 0, pauseGoalMs: 0 });
  const ids = Array.from({ length: 6 }, () => placer.place(job()))
    .flatMap((decision) => decision.kind === "placed" ? [decision.serverId] : []);
  t.snapshot(ids.toSorted());
});

test("hosts that place alone do not all begin with the same server", (t) => {
  const firsts = Array.from({ length: 12 }, (_, index) => {
    const { placer } = setUp({ servers: 8, seed: `host-${index}` });
    const decision = placer.place(makeJob());
    return decision.kind === "placed" ? decision.serverId : undefined;
  });
  t.true(new Set(firsts).size >= 4, String(firsts));
});

test("a hub that learns of a running read leaves its engines alone until it has ended", (t) => {
  const { placer, clock } = setUp({ servers: 2 });
  const expectedMsOf = (id: string) => {
    const decision = placer.place(makeJob({ id, remainingMs: 20_000 }));
    placer.finished(id, JOB_OUTCOME.CANCELLED);
    return decision.kind === "placed" ? { server: decision.serverId } : undefined;
  };
  placer.addRunning({
    job: makeJob({ id: "long", promptTokens: 180_000, goalMs: 4_000, pauseGoalMs: 1_000 }),
    serverId: "s1",
    helperIds: [],
    tickets: [],
    partMs: 3_800,
    ageMs: 1_000,
    isWriting: false,
  });
  t.deepEqual(expectedMsOf("during"), { server: "s2" });
  clock.advance(1_000);
  t.deepEqual(expectedMsOf("still"), { server: "s2" });
  placer.started("long");
  t.deepEqual(expectedMsOf("after"), { server: "s1" });
});

test("a hub that learns of a running request counts the memory on its helpers", (t) => {
  const { placer } = setUp({ servers: 2 });
  const tokens = PROFILE.memoryTokens;
  placer.addRunning({
    job: makeJob({ id: "large", promptTokens: 1.5 * tokens, answerTokens: 0 }),
    serverId: "s1",
    helperIds: ["s2"],
    tickets: [{ serverId: "s2", tokens: 0.6 * tokens }],
    partMs: 100,
    ageMs: 0,
    isWriting: true,
  });
  const decision = placer.place(makeJob({ promptTokens: 0.5 * tokens, remainingMs: 60_000 }));
  t.is(describe(decision), "refused: too_large");
});

test("a prompt that can begin but not end before its deadline is refused at once", (t) => {
  const { placer } = setUp({ servers: 1 });
  // Read in 0.65 s; half of the estimated answer takes 0.75 s at least.
  const prompt = { promptTokens: 50_000, answerTokens: 1_000, remainingMs: 3_000 };
  const tooLate = makeJob({ ...prompt, wholeWithinMs: 1_200 });
  t.is(describe(placer.place(tooLate)), "refused: unservable");
  t.is(placer.place(makeJob({ ...prompt, wholeWithinMs: 2_000 })).kind, "placed");
});

test("hosts that place alone and see the same reports do not all take the same engine", (t) => {
  const counts = new Map<string, number>();
  for (let host = 0; host < 18; host++) {
    const { placer } = setUp({ servers: 10, seed: `host-${host}`, isAlone: true });
    // All of them have heard the same of the engines; the first looks best for packing.
    placer.applyReport("s1", { running: 3, queued: 0, usedTokens: 15_000 });
    for (let n = 0; n < 2; n++) {
      const decision = placer.place(makeJob({ id: `${host}.${n}` }));
      if (decision.kind !== "placed") continue;
      counts.set(decision.serverId, (counts.get(decision.serverId) ?? 0) + 1);
    }
  }
  t.true(Math.max(...counts.values()) <= PROFILE.slots + 4, JSON.stringify([...counts]));
});
