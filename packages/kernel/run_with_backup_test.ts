import { getEventListeners } from "node:events";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { runWithBackup } from "./run_with_backup.ts";

test("without doubt an operation runs once", async (t) => {
  let count = 0;
  t.is(await runWithBackup(() => Promise.resolve(++count)), 1);
  t.is(count, 1);
});

test("the first try that succeeds counts, and the other one is aborted", async (t) => {
  for (const slowTry of [1, 2]) {
    const signals: AbortSignal[] = [];
    const result = await runWithBackup(async ({ signal, startBackup }) => {
      const number = signals.push(signal);
      startBackup();
      await wait(number === slowTry ? 200 : 0);
      return number;
    });
    t.is(result, 3 - slowTry);
    t.is(signals.length, 2);
    t.true(signals.every(({ aborted }) => aborted));
  }
});

test("the failure of one try leaves the other one running; both fail with the last error", async (t) => {
  const run = (isLastSound: boolean) => {
    let count = 0;
    return runWithBackup(({ startBackup }) => {
      startBackup();
      count += 1;
      if (count === 1 || !isLastSound) return Promise.reject(new Error(`Try ${count} failed`));
      return Promise.resolve("sound");
    });
  };
  t.is(await run(true), "sound");
  await t.throwsAsync(run(false));
});

test("no second try starts after the operation was aborted", async (t) => {
  const controller = new AbortController();
  let count = 0;
  const result = runWithBackup(({ startBackup }) => {
    count += 1;
    controller.abort();
    startBackup();
    return Promise.reject(new Error("Aborted"));
  }, controller.signal);
  await t.throwsAsync(result);
  t.is(count, 1);
});

test("an operation leaves no listener in a signal that outlives it", async (t) => {
  const { signal } = new AbortController();
  await runWithBackup(() => Promise.resolve(), signal);
  await t.throwsAsync(runWithBackup(() => Promise.reject(new Error("Try failed")), signal));
  t.deepEqual(getEventListeners(signal, "abort"), []);
});
