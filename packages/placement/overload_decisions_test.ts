import test from "ava";
import { chooseDisplacedJob } from "./choose_displaced_job.ts";
import { computeRetryAfter } from "./compute_retry_after.ts";
import { DRAIN_MIN_ENDED, DRAIN_MIN_MS, MAX_QUEUED_PROMPTS } from "./constants.ts";
import { createDrainRate } from "./create_drain_rate.ts";
import { createRetryShares } from "./create_retry_shares.ts";
import { findUnservableJobs } from "./find_unservable_jobs.ts";
import type { PlacerOptions } from "./placer_types.ts";
import { createManualClock, makeJob, PROFILE } from "./_testing/fixtures.ts";
import { createEngineHub } from "./_testing/play_load.ts";

test("a prompt is unservable only if twice the rate would not be enough", (t) => {
  const prompts = [1_000, 1_000, 1_000].map((remainingMs) => ({
    engineMs: 3_000,
    expectedMs: 100,
    remainingMs,
  }));
  const find = (rate?: number) =>
    [...findUnservableJobs(prompts, (item) => item, rate).values()].map((item) =>
      item.isUnservable
    );
  t.deepEqual(find(1.7), [false, false, true]);
  t.deepEqual(find(1.6), [false, true, true]);
  t.deepEqual(find(0), [false, true, true]);
  t.deepEqual(find(undefined), [false, false, false]);
  // One that is not served does not count as work before others.
  const late = { engineMs: 9_000, expectedMs: 100, remainingMs: 100 };
  const reviewed = findUnservableJobs([late, ...prompts], (item) => item, 1.6);
  t.deepEqual([...reviewed.values()].map(({ aheadMs }) => aheadMs), [0, 0, 3_000, 3_000]);
});

test("the rate is unknown until prompts have waited for a second, so that a new hub refuses nothing early", (t) => {
  const clock = createManualClock();
  const drain = createDrainRate(clock);
  const end = () => {
    for (let at = 0; at < DRAIN_MIN_ENDED; at++) drain.ended("m", 250);
  };
  end();
  drain.setWaiting(new Set(["m"]));
  end();
  clock.advance(DRAIN_MIN_MS - 1);
  t.is(drain.ratePerMs("m"), undefined);
  clock.advance(1);
  t.is(drain.ratePerMs("m"), 250 * DRAIN_MIN_ENDED / DRAIN_MIN_MS);
  drain.setWaiting(new Set());
  drain.setWaiting(new Set(["m"]));
  clock.advance(DRAIN_MIN_MS);
  t.is(drain.ratePerMs("m"), undefined);
});

test("retry delays are spread, and at most a third of the time that the caller has left", (t) => {
  const delays = Array.from(
    { length: 200 },
    (_, at) => computeRetryAfter({ id: `${at}`, wholeWithinMs: 3_000 }, 60_000),
  );
  t.true(delays.every((delay) => delay >= 500 && delay <= 1_000));
  t.true(new Set(delays).size > 100);
  t.is(computeRetryAfter({ id: "a", wholeWithinMs: -5 }, 60_000), 0);
});

test("the last job of the workspace with the most jobs gives way to one with fewer", (t) => {
  const jobs = ["a", "a", "b", "a"].map((workspace, at) =>
    makeJob({ id: `${at}`, workspace, priority: 1 })
  );
  const displace = (workspace: string, priority: number) =>
    chooseDisplacedJob(jobs, makeJob({ workspace, priority }))?.id;
  t.is(displace("new", 1), "3");
  t.is(displace("b", 2), "3");
  t.is(displace("a", 1), undefined);
  t.is(displace("a", 0), "3");
});

test("a workspace above its share of the retry budget leaves to others what they ask for", (t) => {
  const shares = createRetryShares({ clock: createManualClock(), windowMs: 10_000 });
  const ask = (workspace: string, left: number) => {
    const isGranted = shares.ask("m", workspace, { total: 8, left });
    if (isGranted) shares.count("m", workspace);
    return isGranted;
  };
  t.deepEqual([8, 7, 6, 5, 4].map((left) => ask("large", left)), Array(5).fill(true));
  t.true(ask("small", 3));
  t.true(ask("large", 2));
  t.false(ask("large", 1));
  t.true(ask("small", 1));
});

test("in a full queue a small workspace displaces a large one, whose further prompts are refused at once", async (t) => {
  const causes: unknown[] = [];
  const onDecision: PlacerOptions["onDecision"] = ({ cause, workspace }) =>
    cause && void causes.push([workspace, cause]);
  const { placer } = createEngineHub({ isPrioritized: true, servers: 1, onDecision });
  const place = (workspace: string) => placer.place(makeJob({ workspace }));
  for (let at = 0; at < PROFILE.slots + MAX_QUEUED_PROMPTS; at++) void place("large");
  t.true(place("small") instanceof Promise);
  t.like(await place("large"), { kind: "refused", reason: "unservable" });
  t.deepEqual(causes, [["large", "displaced"], ["large", "full"]]);
});
