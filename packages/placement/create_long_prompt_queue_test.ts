import test from "ava";
import { createPlacer } from "./create_placer.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";
import { JOB_OUTCOME } from "./types.ts";
import type { PlacementDecision, PlacementJob } from "./types.ts";

const GOALS = { goalMs: 4_000, pauseGoalMs: 1_000, remainingMs: 15_000 };

function setUp(servers: number) {
  const clock = createManualClock();
  const placer = createPlacer({
    clock,
    retryLimits: { ratio: 0.2, slack: 100, windowMs: 10_000 },
    coldLimits: { multiplier: 1.5, slack: 5 },
    share: () => 1,
    canQueue: () => true,
    isUncoordinated: () => false,
    seed: "",
  });
  placer.setServices([{ name: "model", coldRequestsPerS: 0, engine: PROFILE }]);
  placer.setServers(makeServers(servers));
  const decided: string[] = [];
  const expectedMs = new Map<string, number>();
  /** Places a job and records the decision, also if the job is queued first. */
  const place = (job: PlacementJob): "at once" | "waits" => {
    const note = (decision: PlacementDecision) => {
      decided.push(decision.kind === "placed" ? job.id : `${job.id} ${decision.reason}`);
      if (decision.kind === "placed") expectedMs.set(job.id, decision.expectedMs);
    };
    const decision = placer.place(job);
    if (decision instanceof Promise) {
      void decision.then(note);
      return "waits";
    }
    note(decision);
    return "at once";
  };
  /** Dispatches queued prompts and returns the ids of all jobs decided so far. */
  const review = async () => {
    placer.dispatchReady();
    await Promise.resolve();
    await Promise.resolve();
    return [...decided];
  };
  return {
    clock,
    placer,
    place,
    review,
    expectedMs: (id: string) => expectedMs.get(id) ?? Infinity,
  };
}

test("a long prompt is placed at once while engines are idle", (t) => {
  const { place } = setUp(8);
  t.is(place(makeJob({ promptTokens: 180_000, ...GOALS })), "at once");
});

test("a long prompt waits while all engines are busy", async (t) => {
  const { place, placer, review } = setUp(4);
  const first = makeJob({ id: "first", promptTokens: 180_000, ...GOALS });
  const second = makeJob({ id: "second", promptTokens: 180_000, ...GOALS });
  const third = makeJob({ id: "third", promptTokens: 180_000, ...GOALS });
  t.deepEqual([place(first), place(second), place(third)], ["at once", "waits", "waits"]);
  t.deepEqual(await review(), ["first"]);
  placer.started("first");
  placer.finished("first", JOB_OUTCOME.ANSWERED);
  t.deepEqual(await review(), ["first", "second"]);
});

test("a prompt that can meet its goal goes before a late one", async (t) => {
  const { place, placer, clock, review } = setUp(4);
  place(makeJob({ id: "running", promptTokens: 180_000, ...GOALS }));
  place(makeJob({ id: "late", promptTokens: 180_000, ...GOALS, elapsedMs: 5_000 }));
  place(makeJob({ id: "in time", promptTokens: 180_000, ...GOALS }));
  clock.advance(100);
  placer.finished("running", JOB_OUTCOME.ANSWERED);
  t.deepEqual(await review(), ["running", "in time"]);
  placer.finished("in time", JOB_OUTCOME.ANSWERED);
  t.deepEqual(await review(), ["running", "in time", "late"]);
});

test("a late prompt is placed before its deadline even if engines stay busy", async (t) => {
  const { place, placer, clock, review } = setUp(4);
  const placedAtMs: number[] = [];
  place(makeJob({ id: "late", promptTokens: 180_000, ...GOALS, elapsedMs: 5_000 }));
  for (let round = 0; round < 40; round++) {
    // A continuous stream of prompts that can meet their goals keeps the engines busy.
    const job = makeJob({ promptTokens: 180_000, ...GOALS });
    place(job);
    if ((await review()).includes("late")) placedAtMs.push(clock.nowMs());
    clock.advance(500);
    placer.finished(job.id, JOB_OUTCOME.ANSWERED);
  }
  t.true((placedAtMs[0] ?? Infinity) <= 13_000, String(placedAtMs[0]));
});

test("a late prompt is placed while its answer can still arrive, if few engines may be taken", async (t) => {
  const { place, placer, clock, review, expectedMs } = setUp(8);
  // Streams on all engines but two would miss their pause goals beside a part of the long prompt.
  const ids = makeServers(8).map(({ id }) => id);
  for (const server of ids.slice(0, 6)) {
    for (let count = 0; count < 6; count++) {
      const id = `writer ${server}.${count}`;
      const excludedIds = ids.filter((other) => other !== server);
      place(makeJob({ id, promptTokens: 20_000, excludedIds, pauseGoalMs: 100 }));
      placer.started(id);
    }
  }
  place(makeJob({ id: "taken", promptTokens: 300_000, ...GOALS }));
  place(makeJob({ id: "late", promptTokens: 300_000, ...GOALS, elapsedMs: 5_000 }));
  const deadlineMs = clock.nowMs() + GOALS.remainingMs;
  while (!(await review()).includes("late") && clock.nowMs() < deadlineMs) clock.advance(50);
  // The answer of 1,000 tokens takes less than 2 s beside the writers.
  t.true(clock.nowMs() + expectedMs("late") + 2_000 <= deadlineMs, String(clock.nowMs()));
});

test("a prompt that cannot be prefilled before its deadline is refused at once", async (t) => {
  const { place, review } = setUp(2);
  t.is(place(makeJob({ id: "late", promptTokens: 180_000, remainingMs: 500 })), "at once");
  t.deepEqual(await review(), ["late unservable"]);
});

test("a prompt whose caller left is removed from the queue", async (t) => {
  const { place, placer, review } = setUp(4);
  place(makeJob({ id: "first", promptTokens: 180_000, ...GOALS }));
  place(makeJob({ id: "second", promptTokens: 180_000, ...GOALS }));
  placer.finished("second", JOB_OUTCOME.CANCELLED);
  placer.finished("first", JOB_OUTCOME.ANSWERED);
  t.deepEqual(await review(), ["first", "second unservable"]);
});

test("short prompts do not wait for queued long ones", (t) => {
  const { place } = setUp(4);
  for (let count = 0; count < 6; count++) {
    place(makeJob({ promptTokens: 180_000, ...GOALS }));
  }
  t.is(place(makeJob()), "at once");
});

test("a long prompt waits for a prefill that its own parts would delay", (t) => {
  const { place, clock } = setUp(3);
  const LONG = { promptTokens: 90_000, ...GOALS };
  for (let count = 0; count < 3; count++) place(makeJob(LONG));
  // About 100 ms of each prefill of 1,250 ms remain.
  clock.advance(1_150);
  t.is(place(makeJob(LONG)), "waits");
});

test("prompts behind more prefills than fit before their deadline are refused at once", async (t) => {
  const { place, review } = setUp(4);
  // Four engines prefill one such prompt in 0.95 s, so at most fifteen fit into 15 s.
  for (let count = 1; count <= 20; count++) {
    place(makeJob({ id: `p${count}`, promptTokens: 180_000, ...GOALS }));
  }
  const decisions = await review();
  const refused = decisions.filter((entry) => entry.endsWith("unservable"));
  t.true(refused.length >= 4 && refused.length <= 6, String(decisions));
  t.false(decisions.includes("p5 unservable"));
});

test("a short prompt that exceeds the memory of all engines is refused at once", (t) => {
  const { place } = setUp(2);
  // Its answer needs more memory than both engines have.
  const answerTokens = 2 * PROFILE.memoryTokens;
  t.is(place(makeJob({ answerTokens, wholeWithinMs: Infinity })), "at once");
});

test("a short prompt waits for a slot of another engine, not behind a long prefill", async (t) => {
  const { place, placer, review } = setUp(2);
  for (let count = 1; count <= PROFILE.slots; count++) {
    place(makeJob({ id: `w${count}`, excludedIds: ["s2"] }));
    placer.started(`w${count}`);
  }
  place(makeJob({ id: "prefill", promptTokens: 60_000, goalMs: 1_500, excludedIds: ["s1"] }));
  t.is(place(makeJob({ id: "short" })), "waits");
  placer.finished("w1", JOB_OUTCOME.ANSWERED);
  t.true((await review()).includes("short"));
});

/** A prompt whose prefill on one engine takes about 3.1 s. */
const ENGINE_FILLING = { promptTokens: 160_000, ...GOALS };

test("a short prompt waits rather than for a prefill that outlasts its caller's patience", async (t) => {
  const { place, placer, clock, review } = setUp(1);
  place(makeJob({ id: "long", ...ENGINE_FILLING }));
  t.is(place(makeJob({ id: "short", remainingMs: 2_000 })), "waits");
  clock.advance(1_500);
  t.deepEqual(await review(), ["long"]);
  placer.finished("long", JOB_OUTCOME.CANCELLED);
  t.deepEqual(await review(), ["long", "short"]);
});

test("a short prompt is refused when no engine can answer before its caller leaves", async (t) => {
  const { place, clock, review } = setUp(1);
  place(makeJob({ id: "long", ...ENGINE_FILLING }));
  place(makeJob({ id: "short", remainingMs: 2_000 }));
  clock.advance(1_950);
  t.deepEqual(await review(), ["long", "short unservable"]);
});
