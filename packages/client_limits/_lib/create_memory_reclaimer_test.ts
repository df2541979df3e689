import test from "ava";
import { createMemoryReclaimer } from "./create_memory_reclaimer.ts";

const MEGABYTE = 1024 * 1024;

function setUp(limitBytes: number) {
  const state = { nowMs: 0, usedBytes: 50 * MEGABYTE, collections: [] as boolean[] };
  const reclaim = createMemoryReclaimer({
    limitBytes,
    clock: { nowMs: () => state.nowMs },
    collect(isFull) {
      state.collections.push(isFull);
      state.nowMs += isFull ? 100 : 1;
    },
    readUsedBytes: () => state.usedBytes,
  });
  return { state, reclaim };
}

// Old objects stayed until the heap had grown to several hundred megabytes.
test("all memory is collected if far more is used than is held, for a small part of the time", (t) => {
  const { state, reclaim } = setUp(16 * MEGABYTE);
  reclaim(0);
  t.deepEqual(state.collections, [false]);
  state.usedBytes = 70 * MEGABYTE;
  reclaim(16 * MEGABYTE);
  t.deepEqual(state.collections.splice(0), [false, false], "what is held is not garbage");
  reclaim(0);
  t.deepEqual(state.collections.splice(0), [false, true]);
  state.usedBytes = 90 * MEGABYTE;
  reclaim(0);
  t.deepEqual(state.collections.splice(0), [false], "too soon after the last one");
  state.nowMs += 1_000;
  reclaim(0);
  t.deepEqual(state.collections.splice(0), [false, true]);
  state.nowMs += 1_000;
  reclaim(0);
  t.deepEqual(state.collections, [false], "what a full collection leaves belongs to the program");
});

// Node.js 20 collects only young objects for an option that later releases take for all.
test("a full collection collects old objects", (t) => {
  const now = { nowMs: 0 };
  const reclaim = createMemoryReclaimer({
    limitBytes: MEGABYTE,
    clock: { nowMs: () => now.nowMs },
  });
  let objects: unknown[] | undefined = Array.from({ length: 300_000 }, (_, at) => ({ at: [at] }));
  reclaim(0);
  t.is(objects.length, 300_000);
  const before = process.memoryUsage().heapUsed;
  objects = undefined;
  now.nowMs += 60_000;
  const buffer = Buffer.alloc(2 * MEGABYTE);
  reclaim(0);
  t.true(process.memoryUsage().heapUsed < before - 10 * MEGABYTE);
  t.is(buffer.length, 2 * MEGABYTE);
});
