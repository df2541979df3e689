import test from "ava";
import { createBodyCollector } from "./create_body_collector.ts";
import type { MemoryBudget } from "./create_memory_account.ts";

function createBudget(limitBytes: number): MemoryBudget {
  let freeBytes = limitBytes;
  return {
    tryReserve(bytes) {
      if (bytes > freeBytes) return false;
      freeBytes -= bytes;
      return true;
    },
    release: (bytes) => void (freeBytes += bytes),
  };
}

const createError = () => new Error("body_memory");

test("pieces of any size make up the body, and only its length stays reserved", (t) => {
  const memory = createBudget(400_000);
  const collector = createBodyCollector(memory, createError);
  const pieces = [..."x".repeat(3_000), "y".repeat(5_000), ..."z".repeat(100_000)];
  for (const piece of pieces) collector.add(Buffer.from(piece));
  t.is(collector.finish().toString(), pieces.join(""));
  t.true(memory.tryReserve(400_000 - 108_000));
  t.false(memory.tryReserve(1));
});

test("a body over the budget is refused, and discarding it releases its memory", (t) => {
  const memory = createBudget(10_000);
  const collector = createBodyCollector(memory, createError);
  collector.add(Buffer.alloc(8_000));
  t.throws(() => collector.add(Buffer.alloc(8_000)), { message: /body_memory/ });
  collector.discard();
  t.true(memory.tryReserve(10_000));
});
