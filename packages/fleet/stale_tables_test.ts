import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { computeStaleMs } from "./compute_stale_ms.ts";
import { FLEET_TICK_MS, TABLE_POLL } from "./constants.ts";
import { rankHubs } from "./rank_hubs.ts";
import {
  makeEntry,
  serverKeysOf,
  startHost,
  startHosts,
  waitUntil,
} from "./_testing/start_fleet_hosts.ts";
import type { TestHost } from "./_testing/start_fleet_hosts.ts";
import { TABLE } from "./types.ts";
import type { Table } from "./types.ts";

const hasRow = ({ fleet }: TestHost, table: Table) =>
  fleet.rows(table).some(({ key }) => key === "new");

/**
 * Time from the last read of a table by a hub within which all hosts know its next change: the copy
 * becomes stale, a tick later other hosts read it, and they pass it on.
 */
const noticeMs = (table: Table) => computeStaleMs(table) + 2 * FLEET_TICK_MS;

// Guards against hubs that count as fresh by the reads of one table while they do not read another one.
for (const table of [TABLE.OPERATORS, TABLE.SERVERS]) {
  test.serial(`hosts learn of changes in the ${table} table that their hubs cannot read`, async (t) => {
    const { store, hosts, hub, standby } = await startHosts(t, 5);
    for (const { entry } of [hub, standby]) store.silentPolls.add(`${entry.host} ${table}`);
    // Polls that began before still tell of a change.
    await wait(noticeMs(table));
    store.write(table, "new", "{}");
    const startMs = performance.now();
    await waitUntil(() => hosts.every((host) => hasRow(host, table)));
    const elapsedMs = performance.now() - startMs;
    t.true(elapsedMs < noticeMs(table), `${elapsedMs} ms`);
  });
}

test.serial("hosts read only the table that their hubs cannot read", async (t) => {
  const { store, hub, standby, members } = await startHosts(t, 4);
  for (const { entry } of [hub, standby]) store.silentPolls.add(`${entry.host} operators`);
  await wait(noticeMs(TABLE.OPERATORS));
  for (const { entry } of members) {
    store.silentPolls.add(`${entry.host} servers`).add(`${entry.host} hosts`);
  }
  await wait(3_000);
  store.write(TABLE.SERVERS, "new", "{}");
  await waitUntil(() => members.every((host) => hasRow(host, TABLE.SERVERS)));
  store.write(TABLE.OPERATORS, "new", "{}");
  await waitUntil(() => members.every((host) => hasRow(host, TABLE.OPERATORS)));
  t.pass();
});

// Guards against rows that count as fresh because a hub was selected just now.
test.serial("hosts learn of a change in time although one hub after another is lost", async (t) => {
  const { store, hosts } = await startHosts(t, 9);
  const ranked = rankHubs(hosts.map(({ entry }) => entry)).map(({ host }) => host);
  const reader = ranked.at(-1);
  for (const { entry } of hosts) {
    if (entry.host !== reader) store.silentPolls.add(`${entry.host} ${TABLE.SERVERS}`);
  }
  const startMs = performance.now();
  store.write(TABLE.SERVERS, "before", "{}");
  await wait(TABLE_POLL.servers.waitMs);
  store.write(TABLE.SERVERS, "new", "{}");
  const left = new Set(hosts);
  const noticed = waitUntil(() => [...left].every((host) => hasRow(host, TABLE.SERVERS)))
    .then(() => performance.now() - startMs);
  for (const name of ranked.slice(0, 5)) {
    const hub = hosts.find(({ entry }) => entry.host === name);
    if (hub === undefined) return t.fail();
    left.delete(hub);
    await hub.kill();
    await wait(500);
  }
  const elapsedMs = await noticed;
  t.true(elapsedMs < noticeMs(TABLE.SERVERS) + computeStaleMs(TABLE.SERVERS), `${elapsedMs} ms`);
});

// Guards against a host that knows newer rows than its hubs and says only that it has read the store.
test.serial("hubs that cannot read a table get what a host knew before it had a link to them", async (t) => {
  const { store, hosts } = await startHosts(t, 4);
  store.write(TABLE.SERVERS, "gone", "{}");
  await waitUntil(() => hosts.every(({ fleet }) => fleet.rows(TABLE.SERVERS).length === 1));
  for (const { entry } of hosts) store.silentPolls.add(`${entry.host} ${TABLE.SERVERS}`);
  await wait(noticeMs(TABLE.SERVERS));
  store.write(TABLE.SERVERS, "new", "{}");
  store.remove(TABLE.SERVERS, "gone");
  const startMs = performance.now();
  const late = await startHost(t, store, makeEntry(4));
  const knowsAll = (host: TestHost) => serverKeysOf(host).join() === "new";
  await waitUntil(() => [...hosts, late].every(knowsAll));
  const elapsedMs = performance.now() - startMs;
  t.true(elapsedMs < noticeMs(TABLE.SERVERS), `${elapsedMs} ms`);
});
