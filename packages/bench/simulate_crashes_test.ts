import test from "ava";
import { CRASH_RULE, simulateCrashes } from "./simulate_crashes.ts";
import type { CrashLoad, CrashRule } from "./simulate_crashes.ts";

/** Late requests that the rules allow for each crashing part. */
const MAX_LATE_REQUESTS = 3;

/** Least share of sound requests that is answered beside crashing ones. */
const MIN_ANSWERED_SHARE = 0.9;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

const CALM: CrashLoad = {
  servers: 14,
  soundPerSecond: 24,
  crashingPerSecond: 0,
  crashingParts: 0,
  otherCrashesPerSecond: 0,
  lostShare: 0,
  seconds: 40,
  seed: 1,
};

const CRASHING: Record<string, Partial<CrashLoad>> = {
  "one part": { crashingParts: 1, crashingPerSecond: 8 },
  "one part, seldom": { crashingParts: 1, crashingPerSecond: 0.5 },
  "three parts at once": { crashingParts: 3, crashingPerSecond: 3 },
  "one part beside other crashes": {
    crashingParts: 1,
    crashingPerSecond: 4,
    otherCrashesPerSecond: 0.02,
    lostShare: 1 / 3,
  },
  "one part, many servers": {
    servers: 112,
    soundPerSecond: 100,
    crashingParts: 1,
    crashingPerSecond: 8,
  },
};

/** Crashes in the middle of answers, beside sound answers that take longer. */
const LATE_CRASHING: Record<string, Partial<CrashLoad>> = {
  "0.7 s after the first byte": { crashDelayMs: 700, answerMs: 1_900 },
  "0.7 s after the first byte, seldom": {
    crashDelayMs: 700,
    answerMs: 1_900,
    crashingPerSecond: 0.5,
  },
  "3 s after the first byte": {
    crashDelayMs: 3_000,
    answerMs: 5_000,
    crashingPerSecond: 1,
    // Longer answers occupy the slots longer.
    soundPerSecond: 6,
  },
};

const ORDINARY: Record<string, Partial<CrashLoad>> = {
  "a third of the servers lost at once": { lostShare: 1 / 3 },
  "all servers lost at once": { lostShare: 1 },
  "each server ends every 50 s": { otherCrashesPerSecond: 0.02 },
  "each server ends every 10 s": { otherCrashesPerSecond: 0.1 },
  "each server ends every 20 s, answers take 8 s": {
    otherCrashesPerSecond: 0.05,
    answerMs: 8_000,
    soundPerSecond: 6,
  },
  "a third of the servers lost at once, answers take 8 s": {
    lostShare: 1 / 3,
    answerMs: 8_000,
    soundPerSecond: 6,
  },
};

/** Crashes so late that the rest of the answer is written elsewhere before the next one. */
const CONTINUED: Record<string, Partial<CrashLoad>> = {
  "each second": { crashingPerSecond: 1 },
  "each 5 s": { crashingPerSecond: 0.2, seconds: 80 },
  "each 5 s beside other crashes": {
    crashingPerSecond: 0.2,
    otherCrashesPerSecond: 0.005,
    seconds: 80,
  },
};

async function simulateAll(changes: Partial<CrashLoad>, rule: CrashRule) {
  const results = await Promise.all(
    SEEDS.map((seed) => simulateCrashes({ ...CALM, ...changes, seed }, rule)),
  );
  const sum = (field: keyof (typeof results)[number]) =>
    results.reduce((total, result) => total + result[field], 0);
  return {
    crashes: Math.max(...results.map(({ crashes }) => crashes)),
    late: Math.max(...results.map(({ late }) => late)),
    lateRetries: Math.max(...results.map(({ lateRetries }) => lateRetries)),
    answeredShare: sum("soundAnswered") / sum("sound"),
    soundRefused: sum("soundRefused"),
  };
}

for (const [name, changes] of Object.entries(CRASHING)) {
  test(`few servers end under requests that share a crashing part: ${name}`, async (t) => {
    const parts = await simulateAll(changes, CRASH_RULE.PARTS);
    t.log(parts);
    t.true(parts.late <= MAX_LATE_REQUESTS * (changes.crashingParts ?? 1));
    t.true(parts.answeredShare >= MIN_ANSWERED_SHARE);
  });
}

for (const [name, changes] of Object.entries(LATE_CRASHING)) {
  test(`few servers end under requests with a part that crashes them ${name}`, async (t) => {
    const load = { crashingParts: 1, crashingPerSecond: 4, ...changes };
    const parts = await simulateAll(load, CRASH_RULE.PARTS);
    t.log(parts);
    t.true(parts.late <= MAX_LATE_REQUESTS);
    t.true(parts.answeredShare >= MIN_ANSWERED_SHARE);
  });
}

// Guards against a continuation that clears its content as a whole answer does.
for (const [name, changes] of Object.entries(CONTINUED)) {
  test(`few retries continue answers that crash servers near their end: ${name}`, async (t) => {
    const load = { crashingParts: 1, crashDelayMs: 1_500, answerMs: 1_850, isResumable: true };
    const parts = await simulateAll({ ...load, soundPerSecond: 20, ...changes }, CRASH_RULE.PARTS);
    t.log(parts);
    t.true(parts.lateRetries <= MAX_LATE_REQUESTS);
  });
}

test("crashing requests of a service without other requests are not sent to a second server for long", async (t) => {
  const load = { soundPerSecond: 0, crashingParts: 1, crashingPerSecond: 0.2, seconds: 120 };
  const parts = await simulateAll(load, CRASH_RULE.PARTS);
  t.log(parts);
  t.true(parts.lateRetries <= MAX_LATE_REQUESTS);
});

for (const [name, changes] of Object.entries(ORDINARY)) {
  test(`no sound request is refused for crashes without a crashing part: ${name}`, async (t) => {
    const parts = await simulateAll(changes, CRASH_RULE.PARTS);
    t.log(parts);
    t.is(parts.soundRefused, 0);
  });
}
