import test from "ava";
import { chooseEngines } from "./choose_engines.ts";
import { PACKED_SLOTS_SHARE } from "./constants.ts";
import { createServerLoad } from "./create_server_load.ts";
import { createManualClock, makeJob, makeServers, PROFILE } from "./_testing/fixtures.ts";

const LONG = { promptTokens: 180_000, goalMs: 4_000, pauseGoalMs: 1_000 };

function setUp(servers: number) {
  const clock = createManualClock();
  const loads = makeServers(servers).map((server) =>
    createServerLoad(server, { clock, profile: PROFILE })
  );
  const addWriters = (index: number, count: number) => {
    for (let writer = 0; writer < count; writer++) {
      const job = makeJob();
      loads[index]?.add(job, { prefillMs: 0, memoryTokens: 6_000, isPrimary: true });
      loads[index]?.markDecoding(job.id);
    }
  };
  const addRead = (index: number, readMs: number) =>
    loads[index]?.add(makeJob(LONG), { prefillMs: readMs, memoryTokens: 0, isPrimary: false });
  const choose = (changes = {}, options = {}) => {
    const choice = chooseEngines(makeJob(changes), loads, {
      profile: PROFILE,
      waitedMs: 0,
      leftMs: 15_000,
      packedShare: PACKED_SLOTS_SHARE,
      ...options,
    });
    return choice && {
      servers: [choice.primary, ...choice.helpers].map(({ server }) => server.id),
      isOnTime: choice.isOnTime,
      hasHarm: choice.delayCost > 0,
    };
  };
  return { choose, addWriters, addRead, loads };
}

test("a long prompt leaves engines with writers alone", (t) => {
  const { choose, addWriters } = setUp(6);
  addWriters(0, 4);
  addWriters(1, 1);
  const choice = choose(LONG);
  t.false(choice?.servers.includes("s1") || choice?.servers.includes("s2"));
  t.deepEqual([choice?.isOnTime, choice?.hasHarm], [true, false]);
});

test("a middling prompt is split so finely that it delays no writer", (t) => {
  const { choose, addWriters } = setUp(6);
  for (let index = 0; index < 6; index++) addWriters(index, 2);
  const choice = choose({ promptTokens: 45_000, goalMs: 1_500, pauseGoalMs: 600 });
  t.deepEqual([choice?.isOnTime, choice?.hasHarm], [true, false]);
  t.true((choice?.servers.length ?? 0) >= 3);
});

test("a short prompt goes past engines that read a long one", (t) => {
  const { choose, addRead } = setUp(3);
  addRead(0, 900);
  addRead(1, 900);
  t.deepEqual(choose()?.servers, ["s3"]);
});

test("short prompts open another engine when the packed ones are filled to their share", (t) => {
  const { choose, addWriters } = setUp(3);
  addWriters(0, 5);
  t.deepEqual(choose()?.servers, ["s2"]);
});

test("a long prompt keeps an idle engine free while those that write are full", (t) => {
  const { choose, addWriters } = setUp(4);
  addWriters(0, 7);
  t.is(choose(LONG)?.servers.length, 2);
});

test("without any quiet engine the fewest writers are delayed", (t) => {
  const { choose, addWriters } = setUp(3);
  addWriters(0, 5);
  addWriters(1, 1);
  addWriters(2, 5);
  t.deepEqual(choose({ ...LONG, goalMs: 6_000 })?.servers, ["s2"]);
});

test("writers that are late already do not keep a prompt away", (t) => {
  const { choose, addWriters, loads } = setUp(2);
  addWriters(0, 3);
  addWriters(1, 3);
  loads[0]?.markDelayed();
  t.deepEqual(choose({ ...LONG, goalMs: 6_000 })?.servers, ["s1"]);
});

test("a late prompt is split so far that it is answered before its deadline", (t) => {
  const { choose, addWriters } = setUp(8);
  for (let index = 0; index < 8; index++) addWriters(index, 4);
  const choice = choose({ ...LONG, promptTokens: 340_000 }, { waitedMs: 10_000, leftMs: 4_000 });
  t.true((choice?.servers.length ?? 0) >= 4, String(choice?.servers));
});

test("an engine that reports requests of other hosts is left alone by long prompts", (t) => {
  const { choose, loads } = setUp(3);
  loads[0]?.applyReport({ running: 4, queued: 0, usedTokens: 40_000 });
  t.false(choose(LONG)?.servers.includes("s1"));
});

test("an engine that holds much memory for few requests is taken to read", (t) => {
  const { choose, loads } = setUp(2);
  loads[0]?.applyReport({ running: 1, queued: 0, usedTokens: 300_000 });
  t.deepEqual(choose()?.servers, ["s2"]);
});

test("a short prompt is not split when every engine is full", (t) => {
  const { choose, addWriters } = setUp(4);
  for (let index = 0; index < 4; index++) addWriters(index, 8);
  t.is(choose()?.servers.length, 1);
});

test("a part is not put on an engine where it would make another read late", (t) => {
  const { choose, loads } = setUp(3);
  // Engines read the newest part first, so a read that is there already would wait for this one.
  const addRead = (index: number, readMs: number, elapsedMs: number) =>
    loads[index]?.add(makeJob({ ...LONG, elapsedMs }), {
      prefillMs: readMs,
      memoryTokens: 0,
      isPrimary: false,
    });
  addRead(0, 900, 5_000);
  addRead(1, 900, 5_000);
  addRead(2, 700, 2_000);
  const choice = choose({ ...LONG, goalMs: 9_000 });
  t.deepEqual([choice?.servers.includes("s3"), choice?.hasHarm], [false, false]);
});

test("a part is not put on an engine where another read would then miss its deadline", (t) => {
  const { choose, loads } = setUp(3);
  const addRead = (index: number, readMs: number, remainingMs: number) =>
    loads[index]?.add(makeJob({ ...LONG, elapsedMs: 5_000, remainingMs }), {
      prefillMs: readMs,
      memoryTokens: 0,
      isPrimary: false,
    });
  addRead(0, 900, 15_000);
  addRead(1, 900, 15_000);
  addRead(2, 700, 1_500);
  const choice = choose({ ...LONG, goalMs: 9_000 });
  t.deepEqual([choice?.servers.includes("s3"), choice?.hasHarm], [false, false]);
});

test("the second try of a middle prompt does not depend on helpers", (t) => {
  const { choose, addWriters } = setUp(6);
  for (let index = 0; index < 6; index++) addWriters(index, 2);
  const middle = { promptTokens: 45_000, goalMs: 1_500, pauseGoalMs: 600 };
  t.true((choose(middle)?.servers.length ?? 0) > 1);
  t.is(choose({ ...middle, isRetry: true })?.servers.length, 1);
});
