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
  const sent: string[] = [];
  /** Places a job and notes when it leaves the line. */
  const place = (job: PlacementJob): "at once" | "waits" => {
    const note = (decision: PlacementDecision) => {
      sent.push(decision.kind === "placed" ? job.id : `${job.id} ${decision.reason}`);
    };
    const decision = placer.place(job);
    if (decision instanceof Promise) {
      void decision.then(note);
      return "waits";
    }
    note(decision);
    return "at once";
  };
  /** Lets the line look at its prompts and returns what has left it so far. */
  const review = async () => {
    placer.dispatchReady();
    await Promise.resolve();
    await Promise.resolve();
    return [...sent];
  };
  return { clock, placer, place, review };
}

test("a long prompt goes at once while engines are quiet", (t) => {
  const { place } = setUp(8);
  t.is(place(makeJob({ promptTokens: 180_000, ...GOALS })), "at once");
});

test("a long prompt waits while it would only queue on busy engines", async (t) => {
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

test("a prompt that can be in time goes before one that is late", async (t) => {
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

test("a late prompt is sent before its deadline though engines are busy", async (t) => {
  const { place, placer, clock, review } = setUp(4);
  const sentAt: number[] = [];
  place(makeJob({ id: "late", promptTokens: 180_000, ...GOALS, elapsedMs: 5_000 }));
  for (let round = 0; round < 40; round++) {
    // A stream of prompts that can be in time never leaves the engines idle.
    const job = makeJob({ promptTokens: 180_000, ...GOALS });
    place(job);
    if ((await review()).includes("late")) sentAt.push(clock.nowMs());
    clock.advance(500);
    placer.finished(job.id, JOB_OUTCOME.ANSWERED);
  }
  t.true((sentAt[0] ?? Infinity) <= 13_000, String(sentAt[0]));
});

test("a prompt that can no longer be read before its deadline is refused at once", async (t) => {
  const { place, review } = setUp(2);
  t.is(place(makeJob({ id: "late", promptTokens: 180_000, remainingMs: 500 })), "at once");
  t.deepEqual(await review(), ["late unservable"]);
});

test("a prompt whose caller leaves leaves the line", async (t) => {
  const { place, placer, review } = setUp(4);
  place(makeJob({ id: "first", promptTokens: 180_000, ...GOALS }));
  place(makeJob({ id: "second", promptTokens: 180_000, ...GOALS }));
  placer.finished("second", JOB_OUTCOME.CANCELLED);
  placer.finished("first", JOB_OUTCOME.ANSWERED);
  t.deepEqual(await review(), ["first", "second unservable"]);
});

test("short prompts do not wait for long ones in the line", (t) => {
  const { place } = setUp(4);
  for (let count = 0; count < 6; count++) {
    place(makeJob({ promptTokens: 180_000, ...GOALS }));
  }
  t.is(place(makeJob()), "at once");
});

test("a long prompt waits for the end of a read that its own parts would go before", (t) => {
  const { place, clock } = setUp(3);
  const LONG = { promptTokens: 90_000, ...GOALS };
  for (let count = 0; count < 3; count++) place(makeJob(LONG));
  // Of the reads of 1,250 ms about 100 ms are left on each engine.
  clock.advance(1_150);
  t.is(place(makeJob(LONG)), "waits");
});

test("prompts behind more reads than fit before their deadline are refused at once", async (t) => {
  const { place, review } = setUp(4);
  // Four engines read one such prompt in 0.95 s, so at most fifteen fit into 15 s.
  for (let count = 1; count <= 20; count++) {
    place(makeJob({ id: `p${count}`, promptTokens: 180_000, ...GOALS }));
  }
  const left = await review();
  const refused = left.filter((entry) => entry.endsWith("unservable"));
  t.true(refused.length >= 4 && refused.length <= 6, String(left));
  t.false(left.includes("p5 unservable"));
});

test("a short prompt that no engines can hold is refused at once, though it might wait", (t) => {
  const { place } = setUp(2);
  // Its answer needs more memory than both engines have.
  const answerTokens = 2 * PROFILE.memoryTokens;
  t.is(place(makeJob({ answerTokens, wholeWithinMs: Infinity })), "at once");
});

test("a short prompt waits for a slot of a quiet engine rather than behind a long read", async (t) => {
  const { place, placer, review } = setUp(2);
  for (let count = 1; count <= PROFILE.slots; count++) {
    place(makeJob({ id: `w${count}`, excludedIds: ["s2"] }));
    placer.started(`w${count}`);
  }
  place(makeJob({ id: "read", promptTokens: 60_000, goalMs: 1_500, excludedIds: ["s1"] }));
  t.is(place(makeJob({ id: "short" })), "waits");
  placer.finished("w1", JOB_OUTCOME.ANSWERED);
  t.true((await review()).includes("short"));
});
