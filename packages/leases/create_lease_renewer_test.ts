import test from "ava";
import { createClock, createMetrics, sleep } from "@jaypass/kernel";
import type { Logger } from "@jaypass/kernel";
import { createTableClient } from "@jaypass/store_clients";
import { createPlatformStandIn } from "@jaypass/stand_ins";
import { createLease, createLeaseRenewer, LEASE_TIMING, LeaseError } from "./mod.ts";

const log = { info() {}, warn() {}, error() {}, debug() {} } as unknown as Logger;
// Store timeouts and the takeover time stay long, so that a slow machine does not affect the
// result.
const timing = { ...LEASE_TIMING, renewMs: 100, watchMs: 50, retryMs: 50, storeTimeoutMs: 20_000 };

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await sleep(10);
}

test("forty leases are renewed in one request, and a second host takes over only released leases", async (t) => {
  const platform = await createPlatformStandIn();
  const common = {
    clock: createClock(),
    random: Math.random,
    log,
    metrics: createMetrics({ tags: {} }),
  };
  const open = (host: string) => {
    const table = createTableClient({ ...common, baseUrl: platform.url, client: host });
    const self = { host, incarnation: "1", address: host };
    const renewer = createLeaseRenewer({ ...common, table, self, timing });
    const create = (index: number) =>
      createLease({
        ...{ ...common, name: `pool/m${index}@gent`, table, self, renewer },
        isCandidate: () => true,
        askHolder: () => Promise.resolve("unknown"),
        onChange: () => {},
      });
    const leases = Array.from({ length: 40 }, (_, index) => create(index));
    const close = async () => {
      await renewer.stop();
      await table.close();
    };
    return { leases, create, close };
  };
  const first = open("h1");
  await waitUntil(() => first.leases.every((lease) => lease.mode() === "held"));
  const second = open("h2");
  await waitUntil(() => second.leases.every((lease) => lease.holder()?.host === "h1"));
  platform.resetCounts();
  await waitUntil(() => platform.counts().writes >= 5);
  const { writes, rowsWritten } = platform.counts();
  // Fails if each lease is renewed by its own request, which would exceed the store's budget.
  t.is(rowsWritten, writes * 40);
  t.true(second.leases.every((lease) => lease.mode() === "none"));

  await Promise.all(first.leases.slice(0, 20).map((lease) => lease.release()));
  await waitUntil(() => second.leases.slice(0, 20).every((lease) => lease.mode() === "held"));
  t.true(second.leases.slice(0, 20).every((lease) => lease.retained().length === 0));
  // Fails if a released lease still blocks its name or is renewed again.
  first.create(0);
  t.throws(() => first.create(20), { instanceOf: LeaseError });
  t.true(first.leases.slice(20).every((lease) => lease.allow(8) > 0));
  await Promise.all([first.close(), second.close()]);
  await platform.stop();
});
