import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createClock } from "@jaypass/kernel";
import {
  serverKeysOf,
  startHost,
  startHosts,
  TIMEOUTS,
  waitUntil,
} from "./_testing/start_fleet_hosts.ts";
import type { TestHost } from "./_testing/start_fleet_hosts.ts";
import { TABLE } from "./types.ts";

test("all hosts ask the same hub, and a change of the store reaches all of them", async (t) => {
  const { store, hosts, hub } = await startHosts(t, 4);
  store.write(TABLE.SERVERS, "s1", "{}");
  await waitUntil(() => hosts.every((host) => serverKeysOf(host).includes("s1")));
  const answers = await Promise.all(hosts.map(({ fleet }) => fleet.place("job", TIMEOUTS)));
  t.deepEqual(answers.map((answer) => answer?.by), hosts.map(() => hub.entry.host));
});

test("a hub that lets a job wait is not taken for silent", async (t) => {
  const { hub, members: [member] } = await startHosts(t, 4);
  t.is((await member?.fleet.place("long", TIMEOUTS))?.by, hub.entry.host);
});

test("a hub that answers too late hears that the job was placed elsewhere", async (t) => {
  const { hub, standby, members: [member] } = await startHosts(t, 4);
  const answer = await member?.fleet.place("slow", { answerMs: 100, waitMs: 100 });
  t.is(answer?.by, undefined);
  for (const { reports } of [hub, standby]) {
    await waitUntil(() => reports.includes(`${member?.entry.host}: cancelled slow`));
  }
});

test("members make no calls to the store while their hubs are fresh", async (t) => {
  const { store } = await startHosts(t, 6);
  await wait(1_500);
  const before = store.calls();
  await wait(1_000);
  const calls = store.calls() - before;
  t.true(calls <= 14, `${calls} calls a second for 2 hubs`);
});

test("the second hub knows the reports and answers after the first one is killed", async (t) => {
  const { hub, standby, members: [member] } = await startHosts(t, 4);
  member?.fleet.report("running j1");
  await waitUntil(() => standby.reports.includes(`${member?.entry.host}: running j1`));
  await hub.kill();
  await waitUntil(() => member?.fleet.liveHosts().length === 3);
  const answer = await member?.fleet.place("job", TIMEOUTS);
  t.is(answer?.by, standby.entry.host);
});

test("a killed host is no address of any host soon after", async (t) => {
  const { hosts, members: [killed] } = await startHosts(t, 4);
  await killed?.kill();
  const others = hosts.filter((host) => host !== killed);
  await waitUntil(() => others.every(({ fleet }) => fleet.liveHosts().length === 3));
  t.pass();
});

test("a host that leaves is no address of any host, itself included", async (t) => {
  const { hosts, members: [leaving] } = await startHosts(t, 4);
  await leaving?.fleet.leave();
  await waitUntil(() => hosts.every(({ fleet }) => fleet.liveHosts().length === 3));
  const named = hosts.flatMap(({ fleet }) => fleet.liveHosts()).map(({ host }) => host);
  t.false(named.includes(leaving?.entry.host ?? ""));
});

test("hubs that the store turns away learn of changes from the other hosts", async (t) => {
  const { store, hosts, hub, standby } = await startHosts(t, 4);
  store.rejectedHosts.add(hub.entry.host).add(standby.entry.host);
  store.write(TABLE.SERVERS, "s1", "{}");
  await waitUntil(() => hosts.every((host) => serverKeysOf(host).includes("s1")));
  store.remove(TABLE.SERVERS, "s1");
  await waitUntil(() => hosts.every((host) => !serverKeysOf(host).includes("s1")));
  t.pass();
});

test("a store that turned only one hub away does not count as having been away", async (t) => {
  const { store, hosts, hub } = await startHosts(t, 4);
  store.rejectedHosts.add(hub.entry.host);
  await wait(2_500);
  store.rejectedHosts.clear();
  await wait(1_500);
  const seen = hosts.map(({ fleet }) => fleet.storeRecoveredAgoMs());
  t.deepEqual(seen, hosts.map(() => Infinity));
});

test("a store that was away for all counts as back on every host", async (t) => {
  const { store, hosts } = await startHosts(t, 4);
  store.rejectedHosts.add("all");
  await wait(2_500);
  store.rejectedHosts.clear();
  await waitUntil(() => hosts.every(({ fleet }) => fleet.storeRecoveredAgoMs() < 2_000));
  t.pass();
});

test("a host that starts while the store is down learns everything from a hub", async (t) => {
  const { store, members: [member] } = await startHosts(t, 4);
  store.write(TABLE.SERVERS, "s1", "{}");
  await waitUntil(() => member !== undefined && serverKeysOf(member).includes("s1"));
  store.rejectedHosts.add("all");
  if (member === undefined) return t.fail();
  await member.kill();
  const again = await startHost(t, store, { ...member.entry, incarnation: "again" });
  await waitUntil(() => serverKeysOf(again).includes("s1") && again.fleet.liveHosts().length === 4);
  t.pass();
});

test("hosts whose store dropped its history read the tables whole", async (t) => {
  const { store, hosts } = await startHosts(t, 3);
  store.rejectedHosts.add("all");
  await wait(300);
  store.write(TABLE.SERVERS, "s1", "{}");
  store.compact();
  store.rejectedHosts.clear();
  await waitUntil(() => hosts.every((host) => serverKeysOf(host).includes("s1")));
  t.pass();
});

test("a store that is down gets few calls", async (t) => {
  const { store } = await startHosts(t, 6);
  store.rejectedHosts.add("all");
  await wait(2_500);
  const before = store.calls();
  await wait(2_000);
  const calls = store.calls() - before;
  // One call a host and back-off of at least half a second, and one try a second to write a row.
  t.true(calls <= 6 * 4 * 2, `${calls} calls of 6 hosts in 2 s`);
});

test("a large row that changes often is the same on every host, also after a hub was lost", async (t) => {
  const { store, hosts, hub } = await startHosts(t, 5);
  const describe = (count: number) =>
    JSON.stringify(Array.from({ length: 2_000 }, (_, at) => ({ at, count: at < 3 ? count : 0 })));
  const valueOf = ({ fleet }: TestHost) =>
    fleet.rows(TABLE.OPERATORS).find(({ key }) => key === "config")?.value;
  for (let count = 1; count <= 30; count++) {
    store.write(TABLE.OPERATORS, "config", describe(count));
    if (count === 15) await hub.kill();
    await wait(20);
  }
  const left = hosts.filter((host) => host !== hub);
  await waitUntil(() => left.every((host) => valueOf(host) === describe(30)));
  t.pass();
});

test("a hub that is new to a host hears of all that runs there", async (t) => {
  const { store, hub, members } = await startHosts(t, 4);
  await hub.kill();
  const [member] = members;
  if (member === undefined) return t.fail();
  await member.kill();
  const entry = { ...member.entry, incarnation: "again" };
  await startHost(t, store, entry, () => ["running j7"]);
  const again = await startHost(t, store, { ...hub.entry, incarnation: "again" });
  await waitUntil(() => again.reports.includes(`${entry.host}: running j7`));
  t.pass();
});

test("a job that waits at its own host as a hub is decided elsewhere when the host stops", async (t) => {
  const { hub, standby } = await startHosts(t, 3);
  const placing = hub.fleet.place("own", { answerMs: 500, waitMs: 10_000 });
  await wait(50);
  await hub.fleet.leave();
  const decision = await placing;
  t.is(decision?.decision, `own of ${hub.entry.host} placed by ${standby.entry.host}`);
});

test("a hub that starts again is a hub again before the lost process would be tried", async (t) => {
  const { store, hub, members: [member] } = await startHosts(t, 4);
  await hub.kill();
  await waitUntil(() => member?.fleet.liveHosts().length === 3);
  await startHost(t, store, { ...hub.entry, incarnation: "again" });
  const clock = createClock();
  const startMs = clock.nowMs();
  await waitUntil(async () => (await member?.fleet.place("job", TIMEOUTS))?.by === hub.entry.host);
  // Until then two hubs decide, and neither knows what the other one placed.
  t.true(clock.nowMs() - startMs < 1_000, `${clock.nowMs() - startMs} ms`);
});
