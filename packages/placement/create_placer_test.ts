import test from "ava";
import { createPlacer } from "./create_placer.ts";
import type { Placer, RunningJob } from "./placer_types.ts";
import {
  HARMLESS_AFTER_MS,
  MAX_CRASH_ROUNDS,
  MIN_CRASH_ROUNDS,
  MIN_SUSPICION_MS,
  QUARANTINE_HOLD_MS,
} from "./constants.ts";
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
  return { clock, placer: { ...placer, place, placeOrQueue: placer.place } };
}

/** Places a job that must not be queued. */
function placeNow(placer: Placer, job: PlacementJob): PlacementDecision {
  const decision = placer.place(job);
  if (decision instanceof Promise) throw new Error("Job was queued instead of being placed");
  return decision;
}

function describe(decision: PlacementDecision) {
  if (decision.kind === "refused") return `refused: ${decision.reason}`;
  const { serverId, helperIds, tickets } = decision;
  return { serverId, helpers: helperIds.length, tickets: tickets.map(({ tokens }) => tokens) };
}

/** Describes a job that another placer has just sent to the first server. */
function makeRunning(job: PlacementJob): RunningJob {
  return { job, serverId: "s1", helperIds: [], tickets: [], partMs: 0, ageMs: 0, isWriting: false };
}

function placeAndAnswer(placer: ReturnType<typeof setUp>["placer"], job: PlacementJob) {
  const decision = placer.place(job);
  placer.started(job.id);
  return decision;
}

test("short prompts are packed while long ones get engines without decoding requests", (t) => {
  const { placer } = setUp();
  const short = Array.from({ length: 3 }, () => describe(placeAndAnswer(placer, makeJob())));
  const long = placer.place(makeJob({ promptTokens: 180_000, goalMs: 4_000, pauseGoalMs: 1_000 }));
  t.snapshot({ short, long: describe(long) });
});

test("a prompt larger than an engine's memory gets tickets on helpers for the rest", (t) => {
  const { placer } = setUp();
  const job = makeJob({ promptTokens: 900_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  t.snapshot(describe(placer.place(job)));
});

test("a queued job that its host has already sent counts once until it ends", async (t) => {
  const { clock, placer } = setUp({ servers: 1, canWait: true });
  const long = (id: string) =>
    makeJob({ id, promptTokens: 180_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  placer.place(long("first"));
  // The hub queues the job, but its host times out and places the job itself.
  const waiting = placer.placeOrQueue(long("second"));
  const running = { serverId: "s1", helperIds: [], tickets: [], partMs: 3_900, isWriting: false };
  placer.addRunning({ ...running, job: long("second"), ageMs: 0 });
  t.is((await waiting).kind, "refused");
  for (const id of ["first", "second"]) placer.finished(id, JOB_OUTCOME.ANSWERED);
  clock.advance(100);
  placer.dispatchReady();
  t.is(placer.place(long("third")).kind, "placed");
});

test("a prompt larger than the memory of all engines is refused at once", (t) => {
  const { placer } = setUp({ servers: 2 });
  const job = makeJob({ promptTokens: 900_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  t.is(describe(placer.place(job)), "refused: too_large");
});

test("memory of helpers stays reserved until the answer has ended", (t) => {
  const { placer } = setUp({ servers: 3 });
  const first = makeJob({ promptTokens: 900_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  placeAndAnswer(placer, first);
  const second = makeJob({ promptTokens: 900_000, goalMs: 4_000, pauseGoalMs: 1_000 });
  const during = describe(placer.place(second));
  placer.finished(first.id, JOB_OUTCOME.ANSWERED);
  const after = placer.place(makeJob({ ...second, id: "again" })).kind;
  t.deepEqual({ during, after }, { during: "refused: too_large", after: "placed" });
});

test("a failed server is avoided for a while and then used again", (t) => {
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

test("retries beyond the budget are refused, and a smaller share allows fewer", (t) => {
  const countRetries = (share: number) => {
    const { placer } = setUp({ share });
    return Array.from({ length: 20 }, () => placer.place(makeJob({ isRetry: true })))
      .filter((decision) => decision.kind === "placed").length;
  };
  t.deepEqual([countRetries(1), countRetries(0.5)], [8, 4]);
});

/** Answers after which two crashes of some content are hardly due to chance. */
const ANSWER_COUNT = 40;

/** Plays servers that end under a request and start again. */
function createCrashes(options: Parameters<typeof setUp>[0] = {}) {
  const { placer, clock } = setUp({ servers: 8, ...options });
  const servers = makeServers(options.servers ?? 8);
  const place = (changes: Partial<PlacementJob>) => {
    const job = makeJob(changes);
    const decision = placer.place(job);
    clock.advance(10);
    return { job, serverId: decision.kind === "placed" ? decision.serverId : undefined };
  };
  const answer = (changes: Partial<PlacementJob>, { writtenMs = 0 } = {}) => {
    for (let count = 0; count < ANSWER_COUNT; count += servers.length) {
      const jobs = servers.map(() => place(changes).job);
      for (const { id } of jobs) placer.started(id);
      clock.advance(writtenMs);
      for (const { id } of jobs) placer.finished(id, JOB_OUTCOME.ANSWERED);
    }
  };
  const crash = (changes: Partial<PlacementJob>, { writtenMs }: { writtenMs?: number } = {}) => {
    const { job, serverId } = place(changes);
    if (writtenMs !== undefined) {
      placer.started(job.id);
      clock.advance(writtenMs);
    }
    placer.finished(job.id, JOB_OUTCOME.BROKEN);
    const server = servers.find(({ id }) => id === serverId);
    if (server !== undefined) server.bornMs += 1;
    placer.setServers(structuredClone(servers));
    clock.advance(MIN_SUSPICION_MS);
  };
  const describePlacing = (changes: Partial<PlacementJob>) => {
    const decision = placer.place(makeJob(changes));
    return decision.kind === "refused" ? decision.reason : decision.kind;
  };
  return { placer, clock, place, answer, crash, describePlacing };
}

test("a request that crashes servers is quarantined unless a server answers it", (t) => {
  const { clock, crash, answer, describePlacing } = createCrashes();
  for (let count = 0; count < MAX_CRASH_ROUNDS; count++) {
    crash({ fingerprint: "crashing" });
    crash({ fingerprint: "harmless" });
    answer({ fingerprint: "harmless" });
  }
  const crashing = describePlacing({ fingerprint: "crashing" });
  const harmless = describePlacing({ fingerprint: "harmless" });
  clock.advance(QUARANTINE_HOLD_MS);
  const later = describePlacing({ fingerprint: "crashing" });
  t.deepEqual(
    { crashing, harmless, later },
    { crashing: "quarantined", harmless: "placed", later: "placed" },
  );
});

test("requests of which no two are alike are quarantined for the part of the prompt that crashes servers", (t) => {
  const { crash, answer, describePlacing } = createCrashes();
  for (let count = 0; count < MIN_CRASH_ROUNDS; count++) {
    crash({ parts: ["shared", "crashing", `own${count}`], fingerprint: `c${count}` });
    answer({ parts: ["shared", `other${count}`], fingerprint: `s${count}` });
  }
  t.deepEqual({
    crashing: describePlacing({ parts: ["shared", "crashing", "new"], fingerprint: "new" }),
    elsewhere: describePlacing({ parts: ["crashing", "unknown"], fingerprint: "new" }),
    sound: describePlacing({ parts: ["shared", "new"], fingerprint: "new" }),
  }, { crashing: "quarantined", elsewhere: "quarantined", sound: "placed" });
});

/** Ends servers `writtenMs` after the first bytes of requests, beside answers of others that take `otherMs`. */
function crashWhileWriting({ writtenMs, otherMs }: { writtenMs: number; otherMs: number }) {
  const crashes = createCrashes();
  for (let count = 0; count < MIN_CRASH_ROUNDS; count++) {
    crashes.crash({ parts: ["p"], fingerprint: `c${count}` }, { writtenMs });
    crashes.answer({ fingerprint: `s${count}` }, { writtenMs: otherMs });
  }
  return crashes;
}

// Guards against content that counts as harmless because it crashes servers late in its answers.
test("a crash counts at any time after the first bytes of an answer, beside answers that take as long", (t) => {
  for (const writtenMs of [40, HARMLESS_AFTER_MS, 700, 3_000]) {
    const { describePlacing } = crashWhileWriting({ writtenMs, otherMs: 2 * writtenMs });
    t.is(describePlacing({ parts: ["p"], fingerprint: "new" }), "quarantined", `${writtenMs} ms`);
  }
});

test("content whose answers take longer than those of others is not held to be the cause as soon", (t) => {
  const { describePlacing } = crashWhileWriting({ writtenMs: 3_000, otherMs: 40 });
  t.is(describePlacing({ parts: ["p"], fingerprint: "new" }), "placed");
});

test("an answer that went on clearly longer than those that ended with their servers clears its content", (t) => {
  const writtenMs = 700;
  for (
    const [ranMs, expected] of [[writtenMs, "quarantined"], [2 * writtenMs, "placed"]] as const
  ) {
    const { placer, clock, crash, answer, place, describePlacing } = createCrashes();
    for (let count = 0; count < MIN_CRASH_ROUNDS; count++) {
      crash({ parts: ["p"], fingerprint: `c${count}` }, { writtenMs });
      const { job } = place({ parts: ["p"], fingerprint: `r${count}` });
      placer.started(job.id);
      clock.advance(ranMs);
      placer.finished(job.id, JOB_OUTCOME.CANCELLED);
      answer({ fingerprint: `s${count}` }, { writtenMs: 2 * writtenMs });
    }
    t.is(describePlacing({ parts: ["p"], fingerprint: "new" }), expected);
  }
});

test("a queued prompt is refused when its content turns out to crash servers", async (t) => {
  const { placer, clock, crash, answer, place } = createCrashes({ servers: 1, canWait: true });
  for (let count = 1; count < MIN_CRASH_ROUNDS; count++) {
    crash({ parts: ["crashing"], fingerprint: `c${count}` });
    answer({ fingerprint: `s${count}` });
  }
  const { job } = place({ parts: ["crashing"], fingerprint: "running" });
  const others = Array.from({ length: PROFILE.slots - 1 }, () => place({ fingerprint: "s" }).job);
  const queued = placer.placeOrQueue(makeJob({ parts: ["crashing"], fingerprint: "queued" }));
  // A job of another placer keeps the slot that the crash sets free.
  placer.addRunning(makeRunning(makeJob({ fingerprint: "s" })));
  placer.finished(job.id, JOB_OUTCOME.BROKEN);
  clock.advance(MIN_SUSPICION_MS);
  placer.dispatchReady();
  placer.finished(others[0]?.id ?? "", JOB_OUTCOME.CANCELLED);
  t.is(describe(await queued), "refused: quarantined");
});

test("a retry is not sent to a second server while its content is under suspicion", (t) => {
  const { crash, answer, describePlacing } = createCrashes();
  const crashing = { parts: ["crashing"], fingerprint: "c" };
  for (let count = 1; count < MIN_CRASH_ROUNDS; count++) {
    crash({ ...crashing, fingerprint: `c${count}` });
    answer({ fingerprint: `s${count}` });
  }
  t.is(describePlacing({ ...crashing, isRetry: true }), "quarantined");
  t.is(describePlacing(crashing), "placed");
  t.is(describePlacing({ parts: ["sound"], fingerprint: "s", isRetry: true }), "placed");
});

test("a cold server gets no more requests per second than its limit", (t) => {
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

test("a cold server gets no second share of its limit from a hub that takes over", (t) => {
  const cold = makeServers(1).map((server) => ({ ...server, coldUntilMs: 5_000 }));
  const [first, second] = [0, 1].map(() => setUp({ servers: 0, coldRequestsPerS: 10 }));
  if (first === undefined || second === undefined) return t.fail();
  for (const { placer } of [first, second]) placer.setServers(cold);
  const countPlaced = ({ placer }: typeof first, standby?: typeof first) =>
    Array.from({ length: 40 }, () => makeJob()).filter((job) => {
      const isPlaced = placer.place(job).kind === "placed";
      if (isPlaced) standby?.placer.addRunning(makeRunning(job));
      for (const each of [placer, standby?.placer]) each?.finished(job.id, JOB_OUTCOME.ANSWERED);
      return isPlaced;
    }).length;
  const before = countPlaced(first, second);
  const after = countPlaced(second);
  second.clock.advance(1_100);
  t.deepEqual({ before, after, later: countPlaced(second) }, { before: 14, after: 0, later: 14 });
});

test("a hub that takes over does not grant the retries of a window once more", (t) => {
  const [first, second] = [0, 1].map(() => setUp());
  if (first === undefined || second === undefined) return t.fail();
  const countPlaced = ({ placer }: typeof first, standby?: typeof first) =>
    Array.from({ length: 40 }, () => makeJob({ isRetry: true })).filter((job) => {
      const isPlaced = placer.place(job).kind === "placed";
      if (isPlaced) standby?.placer.addRunning(makeRunning(job));
      for (const each of [placer, standby?.placer]) each?.finished(job.id, JOB_OUTCOME.ANSWERED);
      return isPlaced;
    }).length;
  t.deepEqual([countPlaced(first, second), countPlaced(second)], [8, 0]);
});

test("a job that a host reports once more on a new link is not counted as sent again", (t) => {
  const { placer } = setUp({ servers: 0, coldRequestsPerS: 10 });
  placer.setServers(makeServers(1).map((server) => ({ ...server, coldUntilMs: 5_000 })));
  for (let index = 0; index < 10; index++) {
    const job = makeJob();
    placer.place(job);
    placer.finished(job.id, JOB_OUTCOME.CANCELLED);
    placer.addRunning({ ...makeRunning(job), ageMs: 1_000 });
  }
  const placed = Array.from({ length: 10 }, () => placer.place(makeJob()).kind);
  t.is(placed.filter((kind) => kind === "placed").length, 4);
});

test("a server that restarts under the same id starts without load", (t) => {
  const { placer } = setUp({ servers: 1 });
  const job = makeJob({ promptTokens: 300_000, goalMs: 4_000 });
  placer.place(job);
  const whileLoaded = placer.place(makeJob({ promptTokens: 300_000 })).kind;
  placer.setServers(makeServers(1).map((server) => ({ ...server, bornMs: 7 })));
  t.deepEqual([whileLoaded, placer.place(makeJob({ promptTokens: 300_000 })).kind], [
    "refused",
    "placed",
  ]);
});

test("requests of plain services go to the least loaded server", (t) => {
  const { placer } = setUp({ servers: 0 });
  placer.setServers(makeServers(3, "plain"));
  const job = () => makeJob({ service: "plain", promptTokens: 0, pauseGoalMs: 0 });
  const ids = Array.from({ length: 6 }, () => placer.place(job()))
    .flatMap((decision) => decision.kind === "placed" ? [decision.serverId] : []);
  t.snapshot(ids.toSorted());
});

test("hosts with different seeds do not all choose the same server first", (t) => {
  const firsts = Array.from({ length: 12 }, (_, index) => {
    const { placer } = setUp({ servers: 8, seed: `host-${index}` });
    const decision = placer.place(makeJob());
    return decision.kind === "placed" ? decision.serverId : undefined;
  });
  t.true(new Set(firsts).size >= 4, String(firsts));
});

test("a hub avoids the engine of a reported prefill until it has ended", (t) => {
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

test("a hub counts the helper memory of a reported request", (t) => {
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

test("a prompt that could start but not finish before its deadline is refused at once", (t) => {
  const { placer } = setUp({ servers: 1 });
  // The prefill takes 0.65 s and half of the estimated answer at least 0.75 s.
  const prompt = { promptTokens: 50_000, answerTokens: 1_000, remainingMs: 3_000 };
  const tooLate = makeJob({ ...prompt, wholeWithinMs: 1_200 });
  t.is(describe(placer.place(tooLate)), "refused: unservable");
  t.is(placer.place(makeJob({ ...prompt, wholeWithinMs: 2_000 })).kind, "placed");
});

test("uncoordinated hosts that see the same load reports do not all choose the same engine", (t) => {
  const counts = new Map<string, number>();
  for (let host = 0; host < 18; host++) {
    const { placer } = setUp({ servers: 10, seed: `host-${host}`, isAlone: true });
    // All hosts get the same report, by which the first engine looks best for packing.
    placer.applyReport("s1", { running: 3, queued: 0, usedTokens: 15_000 });
    for (let n = 0; n < 2; n++) {
      const decision = placer.place(makeJob({ id: `${host}.${n}` }));
      if (decision.kind !== "placed") continue;
      counts.set(decision.serverId, (counts.get(decision.serverId) ?? 0) + 1);
    }
  }
  t.true(Math.max(...counts.values()) <= PROFILE.slots + 4, JSON.stringify([...counts]));
});

// Guards against a hub that goes on planning with a server of which a host has reported that it leaves.
test("a server that leaves gets no jobs, as a helper neither, until another start replaces it", (t) => {
  const { placer } = setUp({ servers: 2 });
  const servers = makeServers(2);
  const serversOfLong = () => {
    const decision = placer.place(makeJob({ promptTokens: 180_000, goalMs: 4_000 }));
    return decision.kind === "placed" ? [decision.serverId, ...decision.helperIds].toSorted() : [];
  };
  placer.markLeaving("s1", 0);
  placer.markLeaving("s2", 7);
  placer.markLeaving("s9", 0);
  t.deepEqual(serversOfLong(), ["s2"]);
  placer.setServers(servers);
  t.deepEqual(serversOfLong(), ["s2"]);
  placer.markLeaving("s2", 0);
  t.is(describe(placer.place(makeJob())), "refused: no_server");
  placer.setServers(servers.map((server) => ({ ...server, bornMs: server.id === "s1" ? 5 : 0 })));
  t.like(describe(placer.place(makeJob())), { serverId: "s1" });
  placer.setServers([]);
  placer.setServers(servers.slice(1));
  t.like(describe(placer.place(makeJob())), { serverId: "s2" });
});

// Guards against a queued job that is sent to a server that has left while the job waited.
test("a queued job is not placed on a server that leaves while it waits", async (t) => {
  const { placer } = setUp({ servers: 2, canWait: true });
  for (const serverId of ["s1", "s2"]) {
    for (let at = 0; at < 8; at++) {
      const job = makeJob({ id: `${serverId}-${at}` });
      const entry = { job, serverId, helperIds: [], tickets: [], partMs: 10, ageMs: 0 };
      placer.addRunning({ ...entry, isWriting: true });
    }
  }
  const queued = placer.placeOrQueue(makeJob());
  t.true(queued instanceof Promise);
  placer.markLeaving("s1", 0);
  for (const id of ["s1-0", "s2-0"]) placer.finished(id, JOB_OUTCOME.ANSWERED);
  t.like(describe(await queued), { serverId: "s2" });
});
