import test from "ava";
import { DecodeError } from "@jaypass/kernel";
import { parseQuarantine } from "./parse_quarantine.ts";

const VALID = { keys: ["part:5c1e"], crashCount: 3, trialCount: 0, isReleased: false };

test("a quarantine is read without unknown fields", (t) => {
  t.deepEqual(parseQuarantine({ ...VALID, kind: "quarantine", later: {} }), VALID);
});

test("a quarantine that would hold for all requests, or has fields of another type, is refused", (t) => {
  const invalid = [
    null,
    {},
    { ...VALID, keys: [] },
    { ...VALID, keys: [1] },
    { ...VALID, keys: [""] },
    { ...VALID, keys: ["x".repeat(1_000)] },
    { ...VALID, keys: Array.from({ length: 5_000 }, (_, at) => `${at}`) },
    { ...VALID, crashCount: -1 },
    { ...VALID, trialCount: 0.5 },
    { ...VALID, trialCount: undefined },
  ];
  for (const value of invalid) {
    t.throws(() => parseQuarantine(value), { instanceOf: DecodeError }, JSON.stringify(value));
  }
});
