import test from "ava";
import { DecodeError } from "@jaypass/kernel";
import { createPlacementParsers } from "./create_placement_parsers.ts";

const { parseJob } = createPlacementParsers();

const NUMBERS = ["promptTokens", "answerTokens", "goalMs", "pauseGoalMs", "remainingMs"];
const EARLIER = {
  ...Object.fromEntries([...NUMBERS, "wholeWithinMs", "elapsedMs"].map((name) => [name, 1])),
  ...Object.fromEntries(["id", "service", "fingerprint"].map((name) => [name, "a"])),
  ...Object.fromEntries(["isRetry", "isContinuation", "isRepeatable"].map((name) => [name, true])),
  excludedIds: [],
  parts: [],
};

test("a job of an earlier version has no priorities, and wrong ones of others are refused", (t) => {
  t.deepEqual(Object.keys(parseJob(EARLIER)).sort(), Object.keys(EARLIER).sort());
  const shares = { workspace: "w", priority: 2, routePriority: -1 };
  t.like(parseJob({ ...EARLIER, ...shares }), shares);
  for (const wrong of [{ workspace: 1 }, { priority: "1" }, { routePriority: 1e300 }]) {
    t.throws(() => parseJob({ ...EARLIER, ...wrong }), { instanceOf: DecodeError });
  }
});
