import test from "ava";
import { makeEntry, startHost, startHosts, waitUntil } from "./_testing/start_fleet_hosts.ts";

test.serial("a fact that any host adds reaches all others, without the store", async (t) => {
  const { store, hosts, hub, members: [member] } = await startHosts(t, 5);
  store.rejectedHosts.add("all");
  member?.addFact("of a member");
  hub.addFact("of a hub");
  await waitUntil(() => hosts.every(({ facts }) => facts.size === 2));
  t.pass();
});

test.serial("a host that starts later learns the facts, and brings those that it knows", async (t) => {
  const { store, hosts, members: [member] } = await startHosts(t, 4);
  member?.addFact("early");
  const late = await startHost(t, store, makeEntry(9));
  late.addFact("brought");
  await waitUntil(() => [...hosts, late].every(({ facts }) => facts.size === 2));
  t.pass();
});

test.serial("facts outlast both hubs while the store is away", async (t) => {
  const { store, hub, standby, members: [first, second] } = await startHosts(t, 4);
  hub.addFact("known");
  await waitUntil(() => first?.facts.size === 1 && second?.facts.size === 1);
  const late = makeEntry(9);
  const started = await startHost(t, store, late);
  store.rejectedHosts.add("all");
  await Promise.all([hub.kill(), standby.kill()]);
  await waitUntil(() => started.facts.has("known"));
  t.pass();
});
