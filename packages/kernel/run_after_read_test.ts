import test from "ava";
import { runAfterRead } from "./run_after_read.ts";

/** Counts the turns of the event loop, of the given lengths in milliseconds, before the call. */
function countTurns(
  turnsMs: (turn: number) => number,
  maxWaitMs?: number,
  maxTurnMs?: number,
): number {
  let nowMs = 0;
  let turnCount = 0;
  let isDone = false;
  let next: (() => void) | undefined;
  runAfterRead(() => isDone = true, {
    maxWaitMs,
    maxTurnMs,
    clock: { nowMs: () => nowMs },
    afterPoll: (run) => next = run,
  });
  while (!isDone) {
    nowMs += turnsMs(turnCount++);
    next?.();
  }
  return turnCount;
}

test("the sockets are read once if nothing blocks the event loop", (t) => {
  t.is(countTurns(() => 1), 1);
});

test("the sockets are read again if a callback has blocked the event loop after the last look at them", (t) => {
  t.is(countTurns((turn) => turn < 2 ? 300 : 1), 3);
});

test("the sockets are read once if the last turn is not longer than it may be", (t) => {
  t.is(countTurns((turn) => turn < 2 ? 40 : 30, undefined, 30), 3);
});

test("the function is called although each turn of the event loop is long", (t) => {
  t.true(countTurns(() => 300) <= 20);
});

test("the sockets are read once, and not again after the longest wait, if each turn is long", (t) => {
  t.is(countTurns(() => 300, 100), 1);
  t.is(countTurns(() => 30, 100), 4);
});
