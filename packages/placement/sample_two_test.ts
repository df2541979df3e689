import test from "ava";
import { sampleTwo } from "./sample_two.ts";

const CANDIDATES = ["a", "b", "c", "d", "e"];
const idOf = (candidate: string) => candidate;

test("the same key samples the same two candidates", (t) => {
  const sampled = sampleTwo(CANDIDATES, "job-1", idOf);
  t.is(new Set(sampled).size, 2);
  t.deepEqual(sampleTwo([...CANDIDATES].reverse(), "job-1", idOf), sampled);
});

test("over many keys each candidate is sampled about equally often", (t) => {
  const counts = new Map(CANDIDATES.map((candidate) => [candidate, 0]));
  for (let key = 0; key < 1_000; key++) {
    for (const candidate of sampleTwo(CANDIDATES, `job-${key}`, idOf)) {
      counts.set(candidate, counts.get(candidate)! + 1);
    }
  }
  t.true([...counts.values()].every((count) => count > 300 && count < 500));
});

test("a single candidate is returned as is", (t) => {
  t.deepEqual(sampleTwo(["a"], "job-1", idOf), ["a"]);
});
