import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createMemoryStore } from "./_testing/create_memory_store.ts";
import type { MemoryStore } from "./_testing/create_memory_store.ts";
import { makeEntry, startHost, startHosts, waitUntil } from "./_testing/start_fleet_hosts.ts";
import { TABLE } from "./types.ts";
import type { HostEntry, RowStore } from "./types.ts";

/** Store calls of one host, by method. */
interface CallCounts {
  read: number;
  follow: number;
  write: number;
}

/** Starts a host and counts its store calls. */
async function startCountedHost(t: ExecutionContext, store: MemoryStore, entry: HostEntry) {
  const counts: CallCounts = { read: 0, follow: 0, write: 0 };
  const count = (target: RowStore): RowStore => ({
    ...target,
    readTable: (...args) => (counts.read++, target.readTable(...args)),
    followTable: (...args) => (counts.follow++, target.followTable(...args)),
    writeRow: (...args) => (counts.write++, target.writeRow(...args)),
  });
  const storeFor = (host: string) => count(store.storeFor(host));
  return { counts, host: await startHost(t, { ...store, storeFor }, entry) };
}

// All hosts find the rows of the processes before when they start together.
test.serial("the link to a hub stays when the row of its process replaces the one before", async (t) => {
  const store = createMemoryStore();
  const entries = [makeEntry(0), makeEntry(1), makeEntry(2)];
  const [hubEntry, , memberEntry] = entries.toSorted((a, b) => b.weight - a.weight);
  if (hubEntry === undefined || memberEntry === undefined) return t.fail();
  hubEntry.weight = 1;
  const before = { ...hubEntry, incarnation: "before" };
  store.write(TABLE.HOSTS, before.host, JSON.stringify(before));
  store.rejectedHosts.add(hubEntry.host);
  const hub = await startHost(t, store, hubEntry);
  const member = await startHost(t, store, memberEntry);
  const listJoins = () => hub.reports.filter((text) => text === `${memberEntry.host} left`);
  await waitUntil(() => listJoins().length > 0);
  store.rejectedHosts.clear();
  const isKnown = () =>
    member.fleet.rows(TABLE.HOSTS).some(({ key, value }) =>
      key === hubEntry.host && value === JSON.stringify(hubEntry)
    );
  await waitUntil(isKnown);
  await wait(400);
  t.is(listJoins().length, 1);
});

test.serial("a host that starts beside running hubs reads each table once and writes its row once", async (t) => {
  const { store, members: [member] } = await startHosts(t, 4);
  if (member === undefined) return t.fail();
  await member.kill();
  const { counts } = await startCountedHost(t, store, { ...member.entry, incarnation: "again" });
  await wait(2_000);
  t.deepEqual(counts, { read: 3, follow: 0, write: 1 });
});

test.serial("hosts that start together all together make few store calls", async (t) => {
  const store = createMemoryStore();
  const entries = Array.from({ length: 8 }, (_, index) => makeEntry(index));
  for (const entry of entries) {
    store.write(TABLE.HOSTS, entry.host, JSON.stringify({ ...entry, incarnation: "before" }));
  }
  const started = await Promise.all(entries.map((entry) => startCountedHost(t, store, entry)));
  await wait(2_000);
  t.log(JSON.stringify(started.map((x) => x.counts)));
  t.pass();
});
