import test from "ava";
import { createBodyCollector } from "./create_body_collector.ts";
import { createBodyMemoryBudget } from "./create_body_memory_budget.ts";

test("pieces of any size make up the body, and only its length stays reserved", (t) => {
  const memory = createBodyMemoryBudget(400_000);
  const collector = createBodyCollector(memory);
  const pieces = [..."x".repeat(3_000), "y".repeat(5_000), ..."z".repeat(100_000)];
  for (const piece of pieces) collector.add(Buffer.from(piece));
  t.is(collector.finish().toString(), pieces.join(""));
  t.true(memory.tryReserve(400_000 - 108_000));
  t.false(memory.tryReserve(1));
});

test("a body over the budget is refused, and discarding it releases its memory", (t) => {
  const memory = createBodyMemoryBudget(10_000);
  const collector = createBodyCollector(memory);
  collector.add(Buffer.alloc(8_000));
  t.throws(() => collector.add(Buffer.alloc(8_000)), { message: /body_memory/ });
  collector.discard();
  t.true(memory.tryReserve(10_000));
});
