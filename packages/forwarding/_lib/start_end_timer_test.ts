import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { startEndTimer } from "./start_end_timer.ts";

/** Counts the turns of the event loop until the end; `turn` returns the length and the parts read. */
async function countTurns(turn: (at: number) => { ms: number; parts: number }): Promise<number> {
  let nowMs = 0;
  let parts = 0;
  let turnCount = 0;
  let hasEnded = false;
  let next: (() => void) | undefined;
  startEndTimer(0, {
    countReceived: () => parts,
    onEnd: () => hasEnded = true,
    clock: { nowMs: () => nowMs },
    afterPoll: (run) => next = run,
  });
  while (next === undefined) await wait(1);
  while (!hasEnded) {
    const { ms, parts: read } = turn(turnCount++);
    nowMs += ms;
    parts += read;
    next();
  }
  return turnCount;
}

test("a request without an answer ends after one look at the sockets", async (t) => {
  t.is(await countTurns(() => ({ ms: 1, parts: 0 })), 1);
});

test("an answer that is read in several turns of the event loop is not cut off at the timeout", async (t) => {
  t.is(await countTurns((at) => ({ ms: 1, parts: at < 5 ? 1 : 0 })), 6);
});

test("an answer that goes on after the timeout does not hold the request", async (t) => {
  t.is(await countTurns(() => ({ ms: 5, parts: 1 })), 20);
});

test("a host whose turns of the event loop are all long answers in time", async (t) => {
  t.is(await countTurns(() => ({ ms: 200, parts: 1 })), 1);
});

test("a request that was answered in time does not end", async (t) => {
  let hasEnded = false;
  const cancel = startEndTimer(0, { countReceived: () => 0, onEnd: () => hasEnded = true });
  cancel();
  await wait(50);
  t.false(hasEnded);
});

test("a request that is answered in the look at the sockets does not end", async (t) => {
  let hasEnded = false;
  const cancel = startEndTimer(0, {
    countReceived: () => 0,
    onEnd: () => hasEnded = true,
    afterPoll: (run) => {
      cancel();
      setImmediate(run);
    },
  });
  await wait(50);
  t.false(hasEnded);
});
