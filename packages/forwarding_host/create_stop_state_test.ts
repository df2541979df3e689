import test from "ava";
import { EXIT_LINGER_MS } from "./constants.ts";
import { createStopState } from "./create_stop_state.ts";
import { STOP_STEP } from "./decide_stop_step.ts";

test("a stopping host exits once the directory answers that name it have expired, or before its forced end", (t) => {
  let nowMs = 0;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: () => 8_000,
  });
  const look = (requests: number) => ({
    at: nowMs,
    requests,
    stopping: stop.signal.aborted,
    listed: stop.isNeeded(requests),
    done: stop.nextStep(requests) === STOP_STEP.EXIT,
  });
  stop.observeHosts(17);
  const seen = [look(0)];
  nowMs = 100;
  stop.begin();
  t.is(stop.nextStep(0), STOP_STEP.LEAVE);
  stop.leave();
  for (const at of [100, 2_700, 2_800, 6_000, 6_100]) {
    nowMs = at;
    seen.push(look(0));
  }
  for (const at of [7_000, 7_599, 7_600]) {
    nowMs = at;
    seen.push(look(1));
  }
  t.snapshot(seen);
});

// Guards against reports of a stop that count from another time than the signal.
test("the progress of a stop counts from its start to the exit before its forced end", (t) => {
  let nowMs = 1_000;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: () => 8_000,
  });
  t.is(stop.time(), undefined);
  stop.begin();
  t.deepEqual(stop.time(), { elapsedMs: 0, remainingMs: 7_500 });
  nowMs = 4_900;
  stop.begin();
  t.deepEqual(stop.time(), { elapsedMs: 3_900, remainingMs: 3_600 });
  nowMs = 8_550;
  t.deepEqual(stop.time(), { elapsedMs: 7_550, remainingMs: -50 });
});

// Guards against answers for which a stopping host leaves more time than its exit gives them.
test("answers that have begun linger for the time that the exit waits for callers, within the margin", (t) => {
  const lingerMs = (graceMs: number) => {
    const clock = { nowMs: () => 0, wallMs: () => 0 };
    return createStopState({ clock, graceMs: () => graceMs }).lingerMs();
  };
  t.deepEqual([8_000, 2_000].map(lingerMs), [EXIT_LINGER_MS, 125]);
});

for (const graceMs of [1_000, 2_000]) {
  test(`a grace period of ${graceMs} ms does not end before its last sixth while a request runs`, (t) => {
    let nowMs = 0;
    const stop = createStopState({
      clock: { nowMs: () => nowMs, wallMs: () => nowMs },
      graceMs: () => graceMs,
    });
    stop.begin();
    nowMs = Math.floor(graceMs * 5 / 6);
    t.not(stop.nextStep(1), STOP_STEP.EXIT);
  });
}

test("hosts that accepted callers shortly before the signal count as usual, although they have left since", (t) => {
  let nowMs = 0;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: () => 8_000,
  });
  stop.observeHosts(17);
  nowMs = 1_000;
  stop.observeHosts(3);
  stop.begin();
  t.is(stop.nextStep(0), STOP_STEP.STAY);
  stop.observeHosts(9);
  t.is(stop.nextStep(0), STOP_STEP.LEAVE);
});

// Guards against a stop that the platform ends before the host expects it.
test("a stop is planned with the grace period in force, and with the shortest one since its signal", (t) => {
  let nowMs = 0;
  let graceMs = 8_000;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: () => graceMs,
  });
  const remainingMs = () => stop.time()?.remainingMs;
  graceMs = 4_000;
  nowMs = 1_000;
  stop.begin();
  t.true((remainingMs() ?? Infinity) < 4_000);
  t.true((remainingMs() ?? 0) > 3_000);
  graceMs = 20_000;
  t.true((remainingMs() ?? Infinity) < 4_000);
  graceMs = 2_000;
  t.true((remainingMs() ?? Infinity) < 2_000);
  t.true(stop.exitRemainingMs() < 2_000);
  nowMs = 3_000;
  t.is(stop.nextStep(1), STOP_STEP.EXIT);
});

test("a host that has stood still of late exits sooner by as much, and not before the last sixth of its grace period", (t) => {
  let nowMs = 0;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: () => 8_000,
  });
  const remainingMs = () => stop.time()?.remainingMs;
  stop.begin();
  t.is(remainingMs(), 7_500);
  stop.observeStall(300);
  t.is(remainingMs(), 7_200);
  stop.observeStall(2_000);
  t.is(remainingMs(), 7_000);
  nowMs = 20_000;
  t.is(remainingMs(), 7_500 - 20_000);
});

for (
  const [atMs, expectedMs] of [[7_500, 250], [7_700, 150], [7_900, 50], [8_100, 0]] as const
) {
  test(`an exit that begins ${atMs} ms after the signal has ${expectedMs} ms, so that a late one can still refuse callers`, (t) => {
    let nowMs = 0;
    const stop = createStopState({
      clock: { nowMs: () => nowMs, wallMs: () => nowMs },
      graceMs: () => 8_000,
    });
    stop.begin();
    nowMs = atMs;
    stop.beginExit();
    t.is(stop.exitRemainingMs(), expectedMs);
    nowMs += 20;
    t.is(stop.exitRemainingMs(), Math.max(0, expectedMs - 20));
  });
}

test("connections that wait are accepted until shortly before the forced end, whenever the exit begins", (t) => {
  let nowMs = 0;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: () => 8_000,
  });
  stop.begin();
  const remaining = [7_500, 7_900, 7_990].map((atMs) => {
    nowMs = atMs;
    stop.beginExit();
    return stop.acceptRemainingMs();
  });
  t.deepEqual(remaining, [437.5, 37.5, 0]);
});

test("answers that have begun may go on for as long as the signal may have waited", (t) => {
  let nowMs = 1_000;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: () => 8_000,
  });
  stop.begin({ earliestMs: 1_000, latestMs: 2_200 });
  stop.observeStall(1_200);
  nowMs = 8_000;
  t.is(stop.nextStep(1), STOP_STEP.EXIT);
  t.is(stop.answersRemainingMs(), 1_700);
  nowMs = 9_800;
  t.is(stop.answersRemainingMs(), 0);
});

/** Begins a stop whose signal waited, with settings that were old until they were read after it. */
function beginWithOldSettings({ waitedMs }: { waitedMs: number }) {
  let graceMs = 4_000;
  const stop = createStopState({
    clock: { nowMs: () => 1_000, wallMs: () => 1_000 },
    graceMs: () => graceMs,
  });
  stop.begin({ earliestMs: 1_000 - waitedMs, latestMs: 1_000 });
  const remainingMs = () => stop.time()?.remainingMs;
  const beforeMs = remainingMs();
  graceMs = 8_000;
  stop.recordSettingsRead();
  return { beforeMs, afterMs: remainingMs(), answersMs: stop.answersRemainingMs() };
}

test("a longer grace period that is read at the signal is the one in force", (t) => {
  t.deepEqual(beginWithOldSettings({ waitedMs: 100 }), {
    beforeMs: 3_400,
    afterMs: 7_400,
    answersMs: 7_500,
  });
});

test("a longer grace period that may have come after the signal holds only for answers that have begun", (t) => {
  t.deepEqual(beginWithOldSettings({ waitedMs: 600 }), {
    beforeMs: 2_900,
    afterMs: 2_900,
    answersMs: 7_500,
  });
});
