import test from "ava";
import { createTurnQueue } from "./create_turn_queue.ts";
import type { TurnMember } from "./create_turn_queue.ts";

/** Creates members whose turns take a time of a simulated clock, and records the order of the turns. */
function setUp() {
  const state = { nowMs: 0, order: [] as string[] };
  const queue = createTurnQueue({ nowMs: () => state.nowMs });
  const create = (address: string, turns: number, turnMs: number, requests = 0): TurnMember => {
    let left = turns;
    return {
      address,
      isWaiting: false,
      run() {
        state.nowMs += turnMs;
        state.order.push(address);
        left -= 1;
        return { isUnfinished: left > 0, requests };
      },
    };
  };
  const end = async () => {
    const length = () => state.order.length;
    for (let before = -1; before !== length();) {
      before = length();
      for (let at = 0; at < 4; at++) await new Promise((resolve) => setImmediate(resolve));
    }
    return state.order;
  };
  return { queue, create, end, state };
}

// Turns by connection gave 200 connections of one address 200 turns to the one of another caller.
test("an address with many connections has no more turns than one with a single connection", async (t) => {
  const { queue, create, end } = setUp();
  for (let at = 0; at < 20; at++) queue.offer(create("crowd", 3, 3));
  queue.offer(create("ordinary", 3, 3));
  const order = await end();
  t.is(order.length, 63);
  t.true(order.lastIndexOf("ordinary") <= 7, order.slice(0, 12).join(" "));
});

// Turns by bytes gave heads of very many lines, which take long to parse, a multiple of the time.
test("turns are given by the time that they take", async (t) => {
  const { queue, create, end } = setUp();
  for (let at = 0; at < 2; at++) queue.offer(create("slow", 10, 10));
  queue.offer(create("quick", 10, 1));
  const order = await end();
  t.true(order.lastIndexOf("quick") <= 12, order.join(" "));
});

test("a request counts for what it costs after its head was parsed", async (t) => {
  const { queue, create, end } = setUp();
  queue.offer(create("first", 1, 3));
  for (let at = 0; at < 2; at++) queue.offer(create("requests", 8, 0, 1));
  queue.offer(create("bodies", 8, 0.1));
  const order = await end();
  t.true(order.lastIndexOf("bodies") < order.indexOf("requests") + 10, order.join(" "));
});

test("a member that is offered again while it waits has one turn", async (t) => {
  const { queue, create, end } = setUp();
  queue.offer(create("first", 1, 3));
  const member = create("second", 1, 1);
  for (let at = 0; at < 3; at++) queue.offer(member);
  t.deepEqual(await end(), ["first", "second"]);
});
