import { ADDRESS_TTL_MS, LEAVE_PROPAGATION_MS } from "./constants.ts";
import { createDrain } from "./create_drain.ts";
import { createVirtualNetwork } from "./_lib/create_virtual_network.ts";
import type { Logger } from "@jaypass/kernel";
import test from "ava";

const log: Logger = { debug() {}, info() {}, warn() {}, error() {}, child: () => log };

function startDrain() {
  const network = createVirtualNetwork({ seed: 1 });
  const seen = { left: 0, endMs: NaN };
  const drain = createDrain({
    membership: { leave: () => void seen.left++ },
    clock: network.clock,
    log,
    sleep: network.sleep,
  });
  const start = () => void drain.drain().then(() => seen.endMs = network.clock.nowMs());
  return { network, drain, seen, start };
}

test("a host without requests serves until the addresses given out have expired", async (t) => {
  const { network, drain, seen, start } = startDrain();
  t.false(drain.isDraining());
  start();
  start();
  t.true(drain.isDraining());
  t.is(seen.left, 1);
  await network.run(60_000);
  t.is(seen.endMs, ADDRESS_TTL_MS + LEAVE_PROPAGATION_MS);
});

test("a drain cuts off no request, also one that came during it", async (t) => {
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

test("a request past its deadline does not hold up the drain", async (t) => {
  const { network, drain, seen, start } = startDrain();
  drain.track(45_000);
  drain.track(10_000);
  start();
  await network.run(44_000);
  t.is(seen.endMs, NaN);
  await network.run(2_000);
  t.is(seen.endMs, 45_000);
});
