import test from "ava";
import { sampleTwo } from "./sample_two.ts";

const CANDIDATES = ["a", "b", "c", "d", "e"];
const idOf = (one: string) => one;

test("the same key draws the same two", (t) => {
  const drawn = sampleTwo(CANDIDATES, "job-1", idOf);
  t.is(new Set(drawn).size, 2);
  t.deepEqual(sampleTwo([...CANDIDATES].reverse(), "job-1", idOf), drawn);
});

test("over many keys each candidate is drawn about as often as the others", (t) => {
  const counts = new Map(CANDIDATES.map((one) => [one, 0]));
  for (let key = 0; key < 1_000; key++) {
    for (const one of sampleTwo(CANDIDATES, `job-${key}`, idOf)) {
      counts.set(one, counts.get(one)! + 1);
    }
  }
  t.true([...counts.values()].every((count) => count > 300 && count < 500));
});

test("with one candidate there is no choice", (t) => {
  t.deepEqual(sampleTwo(["a"], "job-1", idOf), ["a"]);
});
