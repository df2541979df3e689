import test from "ava";
import { createStopState } from "./create_stop_state.ts";

test("a stopping host serves on, then refuses requests, and exits before its forced end", (t) => {
  let nowMs = 0;
  const stop = createStopState({
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    graceMs: 8_000,
  });
  const look = (requests: number) => ({
    at: nowMs,
    stopping: stop.isStopping(),
    refusing: stop.isRefusing(),
    done: stop.isDone(requests),
  });
  const seen = [look(0)];
  stop.begin();
  for (const at of [100, 3_000, 5_000, 6_500]) {
    nowMs = at;
    seen.push(look(0));
  }
  nowMs = 7_000;
  seen.push(look(1));
  nowMs = 7_600;
  seen.push(look(1));
  t.snapshot(seen);
});
