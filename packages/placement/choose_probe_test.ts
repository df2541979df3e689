import test from "ava";
import { chooseProbe, excludeFailing } from "./choose_probe.ts";
import { MOSTLY_FAILING_SHARE, PROBE_JOB_SHARE } from "./constants.ts";
import { createFailureShare } from "./create_failure_share.ts";
import { createServerLoad } from "./create_server_load.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";
import type { PlacementJob } from "./types.ts";

const JOBS = 2_000;

/** Makes four engines, of which the first fails a share of ten requests or is slow. */
function setUp({ failed = 0, pace = 1 }) {
  const clock = createManualClock();
  const loads = makeServers(4).map((server) =>
    createServerLoad(server, { clock, profile: PROFILE })
  );
  for (let count = 0; count < 10; count++) loads[0]?.failures.record(count < failed, 0);
  loads[0]?.setPace(pace);
  const countFirst = (
    choose: (job: PlacementJob) => boolean,
    changes: Partial<PlacementJob> = {},
  ) => Array.from({ length: JOBS }, () => choose(makeJob(changes))).filter(Boolean).length / JOBS;
  return { clock, loads, countFirst };
}

test("only a small share of short, repeatable first attempts probes a degraded server", (t) => {
  const { loads, countFirst } = setUp({ failed: 10 });
  const probes = (changes: Partial<PlacementJob>, isShort = true) =>
    countFirst((job) => chooseProbe(job, loads, isShort)?.server.id === "s1", changes);
  const share = probes({});
  t.true(share > 0 && share < 1.5 * PROBE_JOB_SHARE, String(share));
  t.is(probes({}, false), 0);
  t.is(probes({ isRepeatable: false }), 0);
  t.is(probes({ isRetry: true }), 0);
  t.is(probes({ elapsedMs: 200 }), 0);
  loads[0]?.countSend();
  t.is(probes({}), 0, "a server that has just got a request");
});

test("an engine that has just stated its pace needs no probe, and a sound service gets none", (t) => {
  const slow = setUp({ pace: 4 });
  t.is(slow.countFirst((job) => chooseProbe(job, slow.loads, true) !== undefined), 0);
  slow.clock.advance(2_000);
  t.true(slow.countFirst((job) => chooseProbe(job, slow.loads, true) !== undefined) > 0);
  const sound = setUp({});
  t.is(sound.countFirst((job) => chooseProbe(job, sound.loads, true) !== undefined), 0);
});

test("the share of jobs that avoid a server grows with its failures, and all avoid it from a half on", (t) => {
  const avoided = [0, 1, 3, 5, 10].map((failed) => {
    const { loads, countFirst } = setUp({ failed });
    return countFirst((job) =>
      !excludeFailing(job, loads).some(({ server }) => server.id === "s1")
    );
  });
  t.is(avoided[0], 0);
  t.is(avoided[1], 0, "one failure has no effect");
  t.true((avoided[2] ?? 0) > 0 && (avoided[2] ?? 0) < (avoided[3] ?? 0));
  t.is(avoided[4], 1);
});

test("a server is sound again some seconds after its last failure", (t) => {
  const clock = createManualClock();
  const failures = createFailureShare(clock);
  for (let count = 0; count < 10; count++) failures.record(true, clock.nowMs());
  t.true(failures.share() > MOSTLY_FAILING_SHARE);
  t.false(failures.isPartial());
  failures.record(false, clock.nowMs());
  t.true(failures.isPartial(), "an answer to a request that was sent after a failure");
  const shares = Array.from({ length: 12 }, () => {
    clock.advance(1_000);
    for (let count = 0; count < 3; count++) failures.record(false, clock.nowMs());
    return failures.share();
  });
  t.deepEqual(shares, [...shares].sort((a, b) => b - a), "by degrees");
  t.is(shares.at(-1), 0);
});
