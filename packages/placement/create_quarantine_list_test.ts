import test from "ava";
import {
  MAX_QUARANTINES,
  QUARANTINE_HOLD_FACTOR,
  QUARANTINE_HOLD_MS,
  RELEASE_MEMORY_MS,
} from "./constants.ts";
import { createQuarantineList } from "./create_quarantine_list.ts";
import type { Quarantine } from "./create_quarantine_list.ts";
import { createManualClock } from "./_testing/fixtures.ts";

const ADDED: Quarantine = { keys: ["p", "q"], crashCount: 3, trialCount: 0, isReleased: false };

function setUp() {
  const clock = createManualClock();
  const changes: Quarantine[] = [];
  const list = createQuarantineList(clock, (quarantine) => void changes.push(quarantine));
  return { clock, changes, list };
}

test("requests with all keys of a quarantine are found, and no others", (t) => {
  const { list } = setUp();
  list.merge(ADDED);
  t.is(list.find(["q", "r", "p"])?.trialInMs, QUARANTINE_HOLD_MS);
  t.is(list.find(["p", "r"]), undefined);
});

test("each trial postpones the next one", (t) => {
  const { clock, list } = setUp();
  list.merge(ADDED);
  clock.advance(QUARANTINE_HOLD_MS);
  t.is(list.find(["p", "q"])?.trialInMs, 0);
  list.countTrial(["p", "q"]);
  t.is(list.find(["p", "q"])?.trialInMs, QUARANTINE_HOLD_MS * QUARANTINE_HOLD_FACTOR);
});

test("hosts that learn of changes in any order agree", (t) => {
  const tried = { ...ADDED, trialCount: 1 };
  const released = { ...ADDED, trialCount: 1, isReleased: true };
  for (const order of [[ADDED, tried, released], [released, tried, ADDED], [tried, released]]) {
    const { list } = setUp();
    list.merge(ADDED);
    for (const change of order) list.merge(change);
    t.deepEqual(list.list(), [released]);
    t.is(list.find(["p", "q"]), undefined);
  }
});

test("news that are known change nothing, so that hosts do not pass them on without end", (t) => {
  const { changes, list } = setUp();
  t.deepEqual([list.merge(ADDED), list.merge(ADDED)], [true, false]);
  t.deepEqual(changes, [ADDED]);
});

test("content that crashes servers again after its release is held again, and late news do not do so", (t) => {
  const { clock, list } = setUp();
  list.add(ADDED);
  list.release(["p", "q"]);
  t.false(list.merge(ADDED));
  t.is(list.find(["p", "q"]), undefined);
  list.add(ADDED);
  t.is(list.find(["p", "q"])?.quarantine.trialCount, 1);
  list.release(["p", "q"]);
  clock.advance(RELEASE_MEMORY_MS + 1);
  t.deepEqual(list.list(), []);
  t.true(list.merge(ADDED));
});

test("the number of quarantines is bounded", (t) => {
  const { list } = setUp();
  for (let count = 0; count <= MAX_QUARANTINES; count++) {
    list.merge({ ...ADDED, keys: [`${count}`] });
  }
  t.is(list.list().length, MAX_QUARANTINES);
  t.is(list.find(["0"]), undefined);
});
