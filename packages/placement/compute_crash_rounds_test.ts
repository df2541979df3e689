import test from "ava";
import { computeCrashRounds } from "./compute_crash_rounds.ts";

test("more rounds are needed the more requests without the content crash", (t) => {
  const rounds = [0, 1, 5, 10, 20, 50, 99, 100].map((otherCrashCount) =>
    computeCrashRounds({ answerCount: 100 - otherCrashCount, otherCrashCount })
  );
  t.deepEqual(rounds, [3, 3, 3, 3, 5, 5, 5, 5]);
});
