import test from "ava";
import { createPollMonitor } from "./create_poll_monitor.ts";
import type { EventLoopStall } from "./create_poll_monitor.ts";

/** Creates a monitor on an event loop that the test drives. */
function setUp() {
  const loop = { nowMs: 1_000, usedMs: 50, tick: () => {}, poll: () => {} };
  const stalls: EventLoopStall[] = [];
  const monitor = createPollMonitor({
    clock: { nowMs: () => loop.nowMs },
    intervalMs: 100,
    minStallMs: 250,
    onStall: (stall) => void stalls.push(stall),
    processorMs: () => loop.usedMs,
    repeat(run) {
      loop.tick = run;
      return () => {};
    },
    afterPoll: (run) => loop.poll = run,
  });
  return { loop, monitor, stalls };
}

/** Looks at the clock and polls. */
function turn(loop: ReturnType<typeof setUp>["loop"], atMs: number) {
  loop.nowMs = atMs;
  loop.tick();
  loop.poll();
}

test("a signal that is handled after a stall counts as sent before it", (t) => {
  const { loop, monitor } = setUp();
  turn(loop, 1_100);
  turn(loop, 1_200);
  loop.nowMs = 1_900;
  t.is(monitor.earliestSentMs(), 1_100);
  // The timer is overdue and runs before the poll that handles the signal.
  loop.tick();
  t.is(monitor.earliestSentMs(), 1_100);
});

// Another thread may take the signal after the pause, and pass it on after the first poll.
test("a signal that is handled after the first poll behind a stall counts as sent before the stall", (t) => {
  const { loop, monitor } = setUp();
  turn(loop, 1_100);
  turn(loop, 1_900);
  loop.nowMs = 1_905;
  t.is(monitor.earliestSentMs(), 1_100);
  turn(loop, 2_000);
  t.is(monitor.earliestSentMs(), 2_000);
});

test("a poll counts from its begin, since a signal may have come while its events were handled", (t) => {
  const { loop, monitor } = setUp();
  turn(loop, 1_100);
  loop.nowMs = 1_200;
  loop.tick();
  loop.nowMs = 1_700;
  loop.poll();
  t.is(monitor.earliestSentMs(), 1_100);
  turn(loop, 1_800);
  t.is(monitor.earliestSentMs(), 1_200);
});

test("a signal counts as sent when it is handled while polls are on time", (t) => {
  const { loop, monitor } = setUp();
  turn(loop, 1_100);
  turn(loop, 1_200);
  loop.nowMs = 1_399;
  t.is(monitor.earliestSentMs(), 1_399);
  loop.nowMs = 1_400;
  t.is(monitor.earliestSentMs(), 1_100);
});

test("stalls are reported with the processor time that the process used in them", (t) => {
  const { loop, stalls } = setUp();
  for (
    const { atMs, usedMs } of [
      { atMs: 1_100, usedMs: 51 },
      { atMs: 1_349, usedMs: 52 },
      { atMs: 2_149, usedMs: 53 },
      { atMs: 2_449, usedMs: 350 },
    ]
  ) {
    loop.nowMs = atMs;
    loop.usedMs = usedMs;
    loop.tick();
    loop.poll();
  }
  t.deepEqual(stalls, [{ stallMs: 800, processorMs: 1 }, { stallMs: 300, processorMs: 297 }]);
});

test("the event loop is steady again when what has waited during a stall is handled", (t) => {
  const { loop, monitor } = setUp();
  t.is(monitor.steadyForMs(), Infinity);
  loop.nowMs = 1_249;
  t.is(monitor.steadyForMs(), Infinity);
  loop.nowMs = 1_900;
  t.is(monitor.steadyForMs(), 0);
  loop.tick();
  loop.nowMs = 1_950;
  t.is(monitor.steadyForMs(), 0);
  loop.poll();
  loop.nowMs = 2_050;
  t.is(monitor.steadyForMs(), 100);
});

test("in a calm process a signal counts as sent at most some intervals ago", async (t) => {
  const clock = { nowMs: () => performance.now() };
  const monitor = createPollMonitor({ clock, intervalMs: 10, minStallMs: 1, onStall() {} });
  t.teardown(() => monitor.stop());
  let leastAgeMs = Infinity;
  for (let i = 0; i < 20; i++) {
    await new Promise((resolve) => setTimeout(resolve, 10));
    leastAgeMs = Math.min(leastAgeMs, clock.nowMs() - monitor.earliestSentMs());
  }
  t.true(leastAgeMs <= 20, `${leastAgeMs}`);
});
