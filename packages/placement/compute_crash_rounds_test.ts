import test from "ava";
import { computeCrashRounds } from "./compute_crash_rounds.ts";

test("more rounds are needed the more requests without the content crash", (t) => {
  const compute = (minRounds: number) =>
    [0, 1, 5, 10, 20, 50, 99, 100].map((otherCrashCount) =>
      computeCrashRounds({ answerCount: 100 - otherCrashCount, otherCrashCount }, minRounds)
    );
  t.deepEqual(compute(3), [3, 3, 3, 4, 5, 5, 5, 5]);
  t.deepEqual(compute(2), [2, 2, 3, 4, 5, 5, 5, 5]);
});

test("few answers prove little", (t) => {
  const rounds = [0, 1, 3, 10, 30, 100].map((answerCount) =>
    computeCrashRounds({ answerCount, otherCrashCount: 0 }, 2)
  );
  t.deepEqual(rounds, [5, 5, 5, 3, 3, 2]);
});
