import { ADDRESS_TTL_MS, LEAVE_PROPAGATION_MS } from "./constants.ts";
import { createDrain } from "./create_drain.ts";
import { createVirtualNetwork } from "./_lib/create_virtual_network.ts";
import type { Logger } from "@jaypass/kernel";
import test from "ava";

const log: Logger = { debug() {}, info() {}, warn() {}, error() {}, child: () => log };

const MAX_DRAIN_MS = 100_000;

function startDrain() {
  const network = createVirtualNetwork({ seed: 1 });
  const seen = { left: 0, endMs: NaN };
  const drain = createDrain({
    membership: { leave: () => void seen.left++ },
    maxDrainMs: MAX_DRAIN_MS,
    clock: network.clock,
    log,
    sleep: network.sleep,
  });
  const start = () => void drain.drain().then(() => seen.endMs = network.clock.nowMs());
  return { network, drain, seen, start };
}

test("a host without requests is drained when the address lists given out have expired", async (t) => {
  const { network, drain, seen, start } = startDrain();
  t.false(drain.isDraining());
  start();
  start();
  t.true(drain.isDraining());
  t.is(seen.left, 1);
  await network.run(60_000);
  t.is(seen.endMs, ADDRESS_TTL_MS + LEAVE_PROPAGATION_MS);
});

test("a drain waits for all requests, including one that arrives during it", async (t) => {
  const { network, drain, seen, start } = startDrain();
  const endFirst = drain.track(Infinity);
  start();
  await network.run(19_000);
  const endSecond = drain.track(600_000);
  await network.run(11_000);
  endFirst();
  await network.run(10_000);
  t.is(drain.running(), 1);
  t.is(seen.endMs, NaN);
  endSecond();
  await network.run(100);
  t.is(seen.endMs, 40_000);
});

test("a request past its deadline does not delay the end of the drain", async (t) => {
  const { network, drain, seen, start } = startDrain();
  drain.track(45_000);
  drain.track(10_000);
  start();
  await network.run(44_000);
  t.is(seen.endMs, NaN);
  await network.run(2_000);
  t.is(seen.endMs, 45_000);
});

test("a drain under steady load ends at its limit", async (t) => {
  const { network, drain, seen, start } = startDrain();
  start();
  let endPrevious = () => {};
  for (let second = 0; second < 600; second++) {
    const end = drain.track(10_000);
    endPrevious();
    endPrevious = end;
    await network.run(1_000);
  }
  t.is(seen.endMs, MAX_DRAIN_MS);
});

test("a draining host accepts only requests that can end before it does", async (t) => {
  const { network, drain, start } = startDrain();
  t.true(drain.accepts(Infinity));
  start();
  await network.run(30_000);
  t.deepEqual([MAX_DRAIN_MS - 30_000, MAX_DRAIN_MS - 29_999].map(drain.accepts), [true, false]);
});
