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

/** Sets up a queue whose prompts need 100 ms from a free slot to the first byte. */
function setUp() {
  const clock = createManualClock();
  const placed: string[] = [];
  const refused: string[] = [];
  let freeSlots = 0;
  const queue = createSlotQueue({
    expectedMs: () => 100,
    hasFreeSlot: () => freeSlots > 0,
    dispatch(job) {
      freeSlots -= 1;
      placed.push(job.id);
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
    freeSlots = slots;
    queue.dispatchReady();
    return [...placed];
  };
  return { clock, queue, add, release, refused };
}

test("a prompt that can meet its goal gets a free slot before a late one", (t) => {
  const { clock, add, release } = setUp();
  add("late");
  clock.advance(250);
  add("in time");
  t.deepEqual(release(1), ["in time"]);
  t.deepEqual(release(1), ["in time", "late"]);
});

test("of two prompts that can meet their goals the one with less slack goes first", (t) => {
  const { add, release } = setUp();
  add("patient", { goalMs: 1_500 });
  add("urgent");
  t.deepEqual(release(1), ["urgent"]);
});

test("of two late prompts the one whose caller gives up sooner goes first", (t) => {
  const { clock, add, release } = setUp();
  add("older");
  clock.advance(300);
  add("newer");
  clock.advance(400);
  t.deepEqual(release(1), ["older"]);
});

test("a retry goes before new requests", (t) => {
  const { add, release } = setUp();
  add("new");
  add("again", { isRetry: true, elapsedMs: 900 });
  t.deepEqual(release(1), ["again"]);
});

test("a prompt that can no longer be answered is refused even while no slot is free", (t) => {
  const { clock, add, release, refused, queue } = setUp();
  add("first");
  clock.advance(1_950);
  t.deepEqual([release(0), refused, queue.size()], [[], ["first"], 0]);
});

test("a cancelled prompt gets no slot", (t) => {
  const { add, queue, release } = setUp();
  add("gone");
  add("next");
  t.true(queue.cancel("gone"));
  t.false(queue.cancel("gone"));
  t.deepEqual(release(1), ["next"]);
});
