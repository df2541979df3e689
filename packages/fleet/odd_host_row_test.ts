import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { makeEntry, startHost, startHosts, waitUntil } from "./_testing/start_fleet_hosts.ts";
import type { TestHost } from "./_testing/start_fleet_hosts.ts";
import { TABLE } from "./types.ts";

const nest = (levels: number) => "[".repeat(levels) + "]".repeat(levels);

/** Rows of the hosts table that other writers may have left. */
const ODD_VALUES: Record<string, string> = {
  "null": "null",
  "an array": "[]",
  "a number": "1e400",
  "no JSON": "{",
  "empty": "",
  "deeply nested": nest(100_000),
  "without fields": "{}",
  "with null in each field":
    '{"host":null,"linkAddress":null,"callerAddress":null,"dataCentre":null,"weight":null,"incarnation":null}',
};

for (const [name, value] of Object.entries(ODD_VALUES)) {
  test(`a hosts' row that is ${name} does not keep later hosts unknown`, async (t) => {
    const { store, hosts } = await startHosts(t, 2);
    store.write(TABLE.HOSTS, "odd", value);
    await wait(300);
    const later = await startHost(t, store, makeEntry(2));
    const all = [...hosts, later];
    await waitUntil(() => all.every(({ fleet }) => fleet.liveHosts().length === 3));
    t.deepEqual(all.map(({ fleet }) => fleet.hostCount()), [3, 3, 3]);
  });
}

const CHANGES: Record<string, object> = {
  "a link port out of range": { linkAddress: "127.0.0.1:99999" },
  "another host's name": { host: "h0" },
  "a weight of a text": { weight: "9" },
  "an infinite weight": { weight: Infinity },
  "an incarnation of an object": { incarnation: {} },
};
for (const [name, changes] of Object.entries(CHANGES)) {
  test(`a hosts' row with ${name} names no host`, async (t) => {
    const { store, hosts } = await startHosts(t, 2);
    store.write(TABLE.HOSTS, "odd", JSON.stringify({ ...makeEntry(9), host: "odd", ...changes }));
    const later = await startHost(t, store, makeEntry(2));
    const all = [...hosts, later];
    await waitUntil(() => all.every(({ fleet }) => fleet.liveHosts().length === 3));
    t.deepEqual(all.map(({ fleet }) => fleet.hostCount()), [3, 3, 3]);
  });
}

test("a host whose own row is replaced by another writer writes it again", async (t) => {
  const { store, hosts, hub, members } = await startHosts(t, 3);
  for (const { entry } of [hub, ...members]) {
    const hasRow = ({ fleet }: TestHost) =>
      fleet.rows(TABLE.HOSTS).some(({ key, value }) =>
        key === entry.host && value === JSON.stringify(entry)
      );
    await waitUntil(() => hosts.every(hasRow));
    store.write(TABLE.HOSTS, entry.host, "null");
    await waitUntil(() => !hosts.every(hasRow));
    await waitUntil(() => hosts.every(hasRow));
  }
  await waitUntil(() => hosts.every(({ fleet }) => fleet.liveHosts().length === 3));
  t.deepEqual(hosts.map(({ fleet }) => fleet.hostCount()), [3, 3, 3]);
});
