import test from "ava";
import { createClock } from "./create_clock.ts";
import { AbortedError } from "./errors.ts";
import { sleep } from "./sleep.ts";
import { sleepUntilTick } from "./sleep_until_tick.ts";

test("a wait ends at the next multiple of its interval", async (t) => {
  const clock = { nowMs: () => 1_350, wallMs: () => 1_350 };
  const ended: string[] = [];
  const record = async (name: string, wait: Promise<void>) => {
    await wait;
    ended.push(name);
  };
  await Promise.all([
    record("600 ms", sleep(600)),
    record("tick of 900 ms", sleepUntilTick(900, { clock })),
    record("300 ms", sleep(300)),
    record("tick of 300 ms", sleepUntilTick(300, { clock })),
    record("50 ms", sleep(50)),
  ]);
  t.deepEqual(ended, ["50 ms", "tick of 300 ms", "300 ms", "tick of 900 ms", "600 ms"]);
});

test("the wait until a tick ends when its signal is aborted", async (t) => {
  const clock = createClock();
  const signal = AbortSignal.timeout(10);
  await t.throwsAsync(sleepUntilTick(60_000, { clock, signal }), { instanceOf: AbortedError });
});
