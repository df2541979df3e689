import test from "ava";
import { CONNECTION_COST_BYTES } from "./constants.ts";
import { createMemoryAccount } from "./create_memory_account.ts";

function setUp(limitBytes: number, count: number) {
  const released: number[] = [];
  const account = createMemoryAccount(limitBytes + count * CONNECTION_COST_BYTES);
  const holders = Array.from({ length: count }, (_, at) => account.open(() => released.push(at)));
  return { account, holders, released };
}

test("the largest holder gives way to a smaller one, and the largest itself is refused", (t) => {
  const { account, holders: [a, b, c], released } = setUp(100_000, 3);
  t.true(a?.tryReserve(60_000));
  t.true(b?.tryReserve(30_000));
  t.false(a?.tryReserve(20_000));
  t.true(c?.tryReserve(20_000));
  t.deepEqual(released, [0]);
  t.false(a?.tryReserve(1), "a released connection holds nothing more");
  a?.close();
  t.is(account.heldBytes(), 50_000 + 2 * CONNECTION_COST_BYTES);
});

test("what a server has is not given up, nor small holders, and parts go before connections", (t) => {
  const { holders: [a, b, c], released } = setUp(100_000, 3);
  a?.charge(80_000);
  a?.pin(80_000);
  b?.charge(15_000);
  t.false(c?.tryReserve(10_000));
  b?.charge(5_000);
  t.deepEqual(released, []);
  b?.setGiveUp(() => b.release(20_000));
  c?.charge(10_000);
  t.deepEqual(released, [], "only the part of the second one was given up");
  c?.charge(20_000);
  t.deepEqual(released, [2]);
});
