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

// Many connections with little each displaced a caller with one large body.
test("the address that holds most gives way, and small holders of an address over its share as well", (t) => {
  const released: string[] = [];
  const limitBytes = 2_600_000;
  const account = createMemoryAccount(limitBytes);
  const open = (name: string, address: string) => account.open(() => released.push(name), address);
  const crowd = Array.from({ length: 100 }, (_, at) => open(`crowd ${at}`, "crowd"));
  const ordinary = open("ordinary", "ordinary");
  for (const holder of crowd) holder.charge(5_000);
  t.true(ordinary.tryReserve(200_000));
  for (const holder of crowd) holder.charge(11_000);
  t.true(released.length > 0);
  t.false(released.includes("ordinary"));
  t.true(account.heldBytes() <= limitBytes);
});

// A small account refused more and so took more memory: dropped bytes stayed until the heap had grown.
test("memory that was dropped counts until it is collected", (t) => {
  const limitBytes = 8_000_000;
  const collections: number[] = [];
  const account = createMemoryAccount(limitBytes, (heldBytes) => collections.push(heldBytes));
  const holder = account.open(() => {});
  const other = account.open(() => {});
  holder.charge(1_500_000);
  holder.release(1_500_000);
  t.deepEqual(collections, []);
  account.drop(500_000);
  t.is(collections.length, 1, "a quarter of the limit");
  account.drop(1_100_000);
  t.true(other.tryReserve(limitBytes - 1_000_000));
  t.is(collections.length, 2, "memory is collected before it is refused");
  t.false(other.tryReserve(2_000_000));
});
