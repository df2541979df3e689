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
  const addDecoding = (index: number, count: number) => {
    for (let request = 0; request < count; request++) {
      const job = makeJob();
      loads[index]?.add(job, { prefillMs: 0, memoryTokens: 6_000, isPrimary: true });
      loads[index]?.markDecoding(job.id);
    }
  };
  const addPrefill = (index: number, prefillMs: number) =>
    loads[index]?.add(makeJob(LONG), { prefillMs, memoryTokens: 0, isPrimary: false });
  const choose = (changes = {}, options = {}) => {
    const choice = chooseEngines(makeJob(changes), loads, {
      profile: PROFILE,
      waitedMs: 0,
      remainingMs: 15_000,
      packedShare: PACKED_SLOTS_SHARE,
      ...options,
    });
    return choice && {
      servers: [choice.primary, ...choice.helpers].map(({ server }) => server.id),
      isOnTime: choice.isOnTime,
      delaysOthers: choice.delayCost > 0,
    };
  };
  return { choose, addDecoding, addPrefill, loads };
}

test("a long prompt avoids engines with decoding requests", (t) => {
  const { choose, addDecoding } = setUp(6);
  addDecoding(0, 4);
  addDecoding(1, 1);
  const choice = choose(LONG);
  t.false(choice?.servers.includes("s1") || choice?.servers.includes("s2"));
  t.deepEqual([choice?.isOnTime, choice?.delaysOthers], [true, false]);
});

test("a medium prompt is split into parts that make no decoding request late", (t) => {
  const { choose, addDecoding } = setUp(6);
  for (let index = 0; index < 6; index++) addDecoding(index, 2);
  const choice = choose({ promptTokens: 45_000, goalMs: 1_500, pauseGoalMs: 600 });
  t.deepEqual([choice?.isOnTime, choice?.delaysOthers], [true, false]);
  t.true((choice?.servers.length ?? 0) >= 3);
});

test("a short prompt avoids engines that prefill a long one", (t) => {
  const { choose, addPrefill } = setUp(3);
  addPrefill(0, 900);
  addPrefill(1, 900);
  t.deepEqual(choose()?.servers, ["s3"]);
});

test("short prompts use another engine when the packed ones are filled to their share", (t) => {
  const { choose, addDecoding } = setUp(3);
  addDecoding(0, 5);
  t.deepEqual(choose()?.servers, ["s2"]);
});

test("a long prompt leaves an idle engine to short prompts while the decoding one is full", (t) => {
  const { choose, addDecoding } = setUp(4);
  addDecoding(0, 7);
  t.is(choose(LONG)?.servers.length, 2);
});

test("if no engine is idle the engine with the fewest decoding requests is chosen", (t) => {
  const { choose, addDecoding } = setUp(3);
  addDecoding(0, 5);
  addDecoding(1, 1);
  addDecoding(2, 5);
  t.deepEqual(choose({ ...LONG, goalMs: 6_000 })?.servers, ["s2"]);
});

test("decoding requests that are already late do not keep a prompt from an engine", (t) => {
  const { choose, addDecoding, loads } = setUp(2);
  addDecoding(0, 3);
  addDecoding(1, 3);
  loads[0]?.markDelayed();
  t.deepEqual(choose({ ...LONG, goalMs: 6_000 })?.servers, ["s1"]);
});

test("a late prompt is split over enough engines to be answered before its deadline", (t) => {
  const { choose, addDecoding } = setUp(8);
  for (let index = 0; index < 8; index++) addDecoding(index, 4);
  const choice = choose({ ...LONG, promptTokens: 340_000 }, {
    waitedMs: 10_000,
    remainingMs: 4_000,
  });
  t.true((choice?.servers.length ?? 0) >= 4, String(choice?.servers));
});

test("a long prompt avoids an engine that reports requests of other hosts", (t) => {
  const { choose, loads } = setUp(3);
  loads[0]?.applyReport({ running: 4, queued: 0, usedTokens: 40_000 });
  t.false(choose(LONG)?.servers.includes("s1"));
});

test("an engine with much used memory for few requests counts as busy with a long prefill", (t) => {
  const { choose, loads } = setUp(2);
  loads[0]?.applyReport({ running: 1, queued: 0, usedTokens: 300_000 });
  t.deepEqual(choose()?.servers, ["s2"]);
});

test("a short prompt is not split when every engine is full", (t) => {
  const { choose, addDecoding } = setUp(4);
  for (let index = 0; index < 4; index++) addDecoding(index, 8);
  t.is(choose()?.servers.length, 1);
});

test("a part is not placed on an engine where it would make another prefill late", (t) => {
  const { choose, loads } = setUp(3);
  // Engines run the newest part first, so a pending prefill would wait for this one.
  const addPrefill = (index: number, prefillMs: number, elapsedMs: number) =>
    loads[index]?.add(makeJob({ ...LONG, elapsedMs }), {
      prefillMs,
      memoryTokens: 0,
      isPrimary: false,
    });
  addPrefill(0, 900, 5_000);
  addPrefill(1, 900, 5_000);
  addPrefill(2, 700, 2_000);
  const choice = choose({ ...LONG, goalMs: 9_000 });
  t.deepEqual([choice?.servers.includes("s3"), choice?.delaysOthers], [false, false]);
});

test("a part is not placed on an engine where another prefill would then miss its deadline", (t) => {
  const { choose, loads } = setUp(3);
  const addPrefill = (index: number, prefillMs: number, remainingMs: number) =>
    loads[index]?.add(makeJob({ ...LONG, elapsedMs: 5_000, remainingMs }), {
      prefillMs,
      memoryTokens: 0,
      isPrimary: false,
    });
  addPrefill(0, 900, 15_000);
  addPrefill(1, 900, 15_000);
  addPrefill(2, 700, 1_500);
  const choice = choose({ ...LONG, goalMs: 9_000 });
  t.deepEqual([choice?.servers.includes("s3"), choice?.delaysOthers], [false, false]);
});

test("a retry of a medium prompt uses no helpers", (t) => {
  const { choose, addDecoding } = setUp(6);
  for (let index = 0; index < 6; index++) addDecoding(index, 2);
  const mediumPrompt = { promptTokens: 45_000, goalMs: 1_500, pauseGoalMs: 600 };
  t.true((choose(mediumPrompt)?.servers.length ?? 0) > 1);
  t.is(choose({ ...mediumPrompt, isRetry: true })?.servers.length, 1);
});
