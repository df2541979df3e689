import test from "ava";
import { MAX_REFUSALS, REFUSAL_MEMORY_MS } from "./constants.ts";
import { createRefusalRegister } from "./create_refusal_register.ts";
import { createManualClock, makeJob } from "./_testing/fixtures.ts";

test("a caller is early before its delay or a third of its time has passed, until it is placed", (t) => {
  const clock = createManualClock();
  const register = createRefusalRegister(clock);
  const job = makeJob({ wholeWithinMs: 3_000, elapsedMs: 100 });
  clock.advance(100);
  register.record(job, 5_000);
  clock.advance(999);
  t.deepEqual(register.find({ ...job, elapsedMs: 0 }), { isEarly: true, sinceFirstMs: 1_099 });
  clock.advance(1);
  t.deepEqual(register.find({ ...job, elapsedMs: 0 }), { isEarly: false, sinceFirstMs: 1_100 });
  // A second refusal keeps the first arrival.
  register.record(job, 500);
  t.is(register.find({ ...job, elapsedMs: 0 })?.sinceFirstMs, 1_100);
  register.forget(job);
  t.is(register.find(job), undefined);
});

test("the register is bounded in number and time, so that refusals do not fill the memory", (t) => {
  const clock = createManualClock();
  const register = createRefusalRegister(clock);
  for (let at = 0; at <= MAX_REFUSALS; at++) register.record(makeJob({ fingerprint: `${at}` }), 1);
  t.is(register.find(makeJob({ fingerprint: "0" })), undefined);
  t.truthy(register.find(makeJob({ fingerprint: "1" })));
  clock.advance(REFUSAL_MEMORY_MS + 1);
  t.is(register.find(makeJob({ fingerprint: "1" })), undefined);
});
