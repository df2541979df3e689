import test from "ava";
import { createStopState } from "./create_stop_state.ts";

test("a stopping host exits once the directory answers that name it have expired, or before its forced end", (t) => {
  let nowMs = 0;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: 8_000,
  });
  const look = (requests: number) => ({
    at: nowMs,
    requests,
    stopping: stop.signal.aborted,
    listed: stop.isListed(),
    done: stop.isDone(requests),
  });
  const seen = [look(0)];
  nowMs = 100;
  stop.begin();
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
    graceMs: 8_000,
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

for (const graceMs of [1_000, 2_000]) {
  test(`a grace period of ${graceMs} ms does not end before its last sixth while a request runs`, (t) => {
    let nowMs = 0;
    const stop = createStopState({ clock: { nowMs: () => nowMs, wallMs: () => nowMs }, graceMs });
    stop.begin();
    nowMs = Math.floor(graceMs * 5 / 6);
    t.false(stop.isDone(1));
  });
}
