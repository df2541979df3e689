import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createMemoryStore } from "./_testing/create_memory_store.ts";
import type { MemoryStore } from "./_testing/create_memory_store.ts";
import { makeEntry, startHost, startHosts, waitUntil } from "./_testing/start_fleet_hosts.ts";
import { LINK_CONNECT_TIMEOUT_MS } from "./constants.ts";
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

// Each of them followed three tables and wrote its row twice before.
test.serial("hosts that start together read each table once and write their rows once, except for the hubs", async (t) => {
  const store = createMemoryStore();
  const entries = Array.from({ length: 8 }, (_, index) => makeEntry(index));
  for (const entry of entries) {
    store.write(TABLE.HOSTS, entry.host, JSON.stringify({ ...entry, incarnation: "before" }));
  }
  const started = await Promise.all(entries.map((entry) => startCountedHost(t, store, entry)));
  await wait(2_000);
  for (const { counts } of started) t.like(counts, { read: 3, write: 1 });
  const follows = started.filter(({ host }) => !host.fleet.isHub())
    .reduce((sum, { counts }) => sum + counts.follow, 0);
  // None but where links take long, as on a busy machine; 18 before.
  t.true(follows < 6, `${follows} polls of hosts that are no hubs`);
});

/** Writes the row of a host that accepts links and sends no view. */
async function addSilentHost(t: ExecutionContext, store: MemoryStore, entry: HostEntry) {
  const [host, port] = entry.linkAddress.split(":");
  const server = createServer((socket) => void socket.on("error", () => {}));
  t.teardown(() => void server.close());
  await once(server.listen(Number(port), host), "listening");
  store.write(TABLE.HOSTS, entry.host, JSON.stringify(entry));
}

/** Starts a host; returns the milliseconds from its last first read to its first poll. */
async function measureFirstPoll(t: ExecutionContext, store: MemoryStore) {
  const { counts } = await startCountedHost(t, store, makeEntry(0));
  await waitUntil(() => counts.read === 3);
  const startMs = performance.now();
  await waitUntil(() => counts.follow > 0);
  return performance.now() - startMs;
}

test.serial("a host whose hubs do not answer follows the store within a second after its first read", async (t) => {
  const store = createMemoryStore();
  for (const index of [1, 2, 3]) {
    await addSilentHost(t, store, { ...makeEntry(index), weight: 1 });
  }
  const pollMs = await measureFirstPoll(t, store);
  t.true(pollMs < 1_000, `${pollMs} ms`);
});

// That hub may be starting too; its row tells when it can be reached.
test.serial("a host that is refused by a hub follows the store without a wait", async (t) => {
  const store = createMemoryStore();
  const refusing = { ...makeEntry(1), weight: 2 };
  store.write(TABLE.HOSTS, refusing.host, JSON.stringify(refusing));
  for (const index of [2, 3]) {
    await addSilentHost(t, store, { ...makeEntry(index), weight: 1 });
  }
  const pollMs = await measureFirstPoll(t, store);
  t.true(pollMs < LINK_CONNECT_TIMEOUT_MS, `${pollMs} ms`);
});
