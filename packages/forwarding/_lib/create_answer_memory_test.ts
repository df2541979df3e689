import test from "ava";
import { CONNECTION_COST_BYTES, createMemoryAccount } from "@jaypass/client_limits";
import type { ConnectionMemory } from "@jaypass/client_limits";
import { createAnswerMemory } from "./create_answer_memory.ts";
import type { AnswerLimit } from "./create_answer_memory.ts";

const LIMIT_BYTES = 400_000;

function setUp() {
  const account = createMemoryAccount(LIMIT_BYTES + CONNECTION_COST_BYTES);
  const holder = account.open(() => {});
  const connection: ConnectionMemory = {
    ...holder,
    tryReserveHead: holder.tryReserve,
    chargeHead: holder.charge,
    releaseHead: holder.release,
    pinHead: holder.pin,
  };
  const limits: AnswerLimit[] = [];
  const memory = createAnswerMemory(connection, (reason) => limits.push(reason));
  const heldBytes = () => account.heldBytes() - CONNECTION_COST_BYTES;
  return { memory, limits, heldBytes, other: account.open(() => {}) };
}

// Guards against answers that take the memory which other requests need.
test("a large body takes up to half of what is free, and a small one is always held", (t) => {
  const { memory, limits, heldBytes, other } = setUp();
  t.true(memory.body.tryReserve(180_000));
  t.false(memory.body.tryReserve(180_000));
  t.deepEqual(limits, ["answer_memory"]);
  t.is(heldBytes() - CONNECTION_COST_BYTES, 180_000);
  memory.body.release(180_000);
  other.pin(LIMIT_BYTES - CONNECTION_COST_BYTES);
  other.charge(LIMIT_BYTES - CONNECTION_COST_BYTES);
  t.true(memory.body.tryReserve(10_000));
  t.false(memory.body.tryReserve(10_000));
});

// Guards against heads of many lines, which cost far more than their bytes.
test("a large head needs memory that is free, and an ordinary one is always taken", (t) => {
  const { memory, limits, other } = setUp();
  const many = Array.from({ length: 2_000 }, (_, index) => index % 2 === 0 ? "a" : "b");
  t.true(memory.tryReserveHead(many));
  other.charge(150_000);
  other.pin(150_000);
  t.false(memory.tryReserveHead(many));
  t.deepEqual(limits, ["answer_head"]);
  t.true(memory.tryReserveHead(["Content-Type", "text/plain"]));
});

test("what is held of answers is released at the end of their request, and counted no more", (t) => {
  const { memory, heldBytes } = setUp();
  const before = heldBytes();
  memory.tryReserveHead(["Content-Type", "text/plain"]);
  memory.body.tryReserve(1_000);
  memory.body.tryReserve(2_000);
  memory.body.release(1_000);
  t.true(heldBytes() > before + 2_000);
  memory.close();
  memory.body.release(2_000);
  t.true(memory.body.tryReserve(1_000));
  t.is(heldBytes(), before);
});
