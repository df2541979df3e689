import test from "ava";
import { createSlotQueue } from "./create_slot_queue.ts";
import { createManualClock, makeJob } from "./_testing/fixtures.ts";
import type { PlacementDecision, PlacementJob } from "./types.ts";

const PLACED: PlacementDecision = {
  kind: "placed",
  serverId: "s1",
  helperIds: [],
  tickets: [],
  partMs: 30,
  expectedMs: 100,
};

const REFUSED: PlacementDecision = { kind: "refused", reason: "unservable", retryAfterMs: 500 };

/** A queue whose prompts take 100 ms to their first byte once they have a slot. */
function setUp() {
  const clock = createManualClock();
  const sent: string[] = [];
  const refused: string[] = [];
  let free = 0;
  const queue = createSlotQueue({
    expectedMs: () => 100,
    hasFreeSlot: () => free > 0,
    dispatch(job) {
      free -= 1;
      sent.push(job.id);
      return PLACED;
    },
    refuse(job) {
      refused.push(job.id);
      return REFUSED;
    },
  }, clock);
  const add = (id: string, changes: Partial<PlacementJob> = {}) =>
    void queue.add(makeJob({ id, remainingMs: 2_000, ...changes }));
  const release = (slots: number) => {
    free = slots;
    queue.dispatchReady();
    return [...sent];
  };
  return { clock, queue, add, release, refused };
}

test("a prompt that can be in time gets the free slot before one that is late", (t) => {
  const { clock, add, release } = setUp();
  add("late");
  clock.advance(250);
  add("in time");
  t.deepEqual(release(1), ["in time"]);
  t.deepEqual(release(1), ["in time", "late"]);
});

test("of two that can be in time the one with less time left goes first", (t) => {
  const { add, release } = setUp();
  add("patient", { goalMs: 1_500 });
  add("urgent");
  t.deepEqual(release(1), ["urgent"]);
});

test("of two late ones the one whose caller leaves sooner goes first", (t) => {
  const { clock, add, release } = setUp();
  add("older");
  clock.advance(300);
  add("newer");
  clock.advance(400);
  t.deepEqual(release(1), ["older"]);
});

test("a request that an engine has worked on goes before new ones", (t) => {
  const { add, release } = setUp();
  add("new");
  add("again", { isRetry: true, elapsedMs: 900 });
  t.deepEqual(release(1), ["again"]);
});

test("a prompt that can no longer be answered is refused, also while no slot is free", (t) => {
  const { clock, add, release, refused, queue } = setUp();
  add("first");
  clock.advance(1_950);
  t.deepEqual([release(0), refused, queue.size()], [[], ["first"], 0]);
});

test("a prompt whose caller left takes no slot", (t) => {
  const { add, queue, release } = setUp();
  add("gone");
  add("next");
  t.true(queue.cancel("gone"));
  t.false(queue.cancel("gone"));
  t.deepEqual(release(1), ["next"]);
});
