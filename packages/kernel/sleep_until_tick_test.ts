import test from "ava";
import { createClock } from "./create_clock.ts";
import { AbortedError } from "./errors.ts";
import { sleepUntilTick } from "./sleep_until_tick.ts";

test("tasks with intervals that are multiples of each other wake at the same tick", async (t) => {
  const clock = createClock();
  const wokenMs = await Promise.all([40, 80].map(async (intervalMs, index) => {
    // The tasks start at different times.
    await new Promise((resolve) => setTimeout(resolve, 7 * index));
    await sleepUntilTick(intervalMs, { clock });
    if (intervalMs === 40) {
      while (clock.nowMs() % 80 > 40) await sleepUntilTick(intervalMs, { clock });
    }
    return Math.floor(clock.nowMs() / 80);
  }));
  t.is(wokenMs[0], wokenMs[1]);
});

test("the wait until a tick ends when its signal is aborted", async (t) => {
  const clock = createClock();
  const signal = AbortSignal.timeout(10);
  await t.throwsAsync(sleepUntilTick(60_000, { clock, signal }), { instanceOf: AbortedError });
});
