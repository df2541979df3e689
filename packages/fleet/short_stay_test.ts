import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { chooseHubs } from "./choose_hubs.ts";
import { VIEW_INTERVAL_MS } from "./constants.ts";
import { makeEntry, startHost, startHosts, waitUntil } from "./_testing/start_fleet_hosts.ts";
import type { TestHost } from "./_testing/start_fleet_hosts.ts";

/** Pairs of hosts that are started; whether one leaves before the hub tells of it is up to chance. */
const ROUNDS = 10;

const FIRST_NEW_INDEX = 100;

test.serial("a host that leaves right after its start is not named by hosts that started beside it", async (t) => {
  const { store, hosts, hub, standby } = await startHosts(t, 3);
  const known = hosts.map(({ entry }) => entry);
  let nextIndex = FIRST_NEW_INDEX;
  /** Starts a host that does not become a hub. */
  const start = () => {
    while (true) {
      const entry = makeEntry(nextIndex++);
      const hubs = chooseHubs([...known, entry]);
      if (!hubs.includes(hub.entry) || !hubs.includes(standby.entry)) continue;
      known.push(entry);
      return startHost(t, store, entry);
    }
  };
  const isNamed = (by: TestHost, { entry }: TestHost) =>
    by.fleet.liveHosts().some(({ host }) => host === entry.host);
  const named: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const leaving = await start();
    await waitUntil(() => isNamed(hub, leaving) && isNamed(standby, leaving));
    const staying = await start();
    await waitUntil(() => isNamed(hub, staying) && isNamed(standby, staying));
    await leaving.fleet.leave();
    await leaving.kill();
    await waitUntil(() => [hub, standby].every((host) => !isNamed(host, leaving)));
    await wait(3 * VIEW_INTERVAL_MS);
    if (isNamed(staying, leaving)) named.push(leaving.entry.host);
    await staying.kill();
  }
  t.deepEqual(named, []);
});
