import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import { createMemoryStore } from "./_testing/create_memory_store.ts";
import {
  makeEntry,
  serverKeysOf,
  startHost,
  startHosts,
  waitUntil,
} from "./_testing/start_fleet_hosts.ts";
import { rankHubs } from "./rank_hubs.ts";
import { TABLE } from "./types.ts";

test.serial("a store that is down receives no more calls from many hosts than from few", async (t) => {
  const countCalls = async (hostCount: number) => {
    const { store, hosts } = await startHosts(t, hostCount);
    const before = store.calls();
    store.rejectedHosts.add("all");
    await wait(2_500);
    const calls = store.calls() - before;
    await Promise.all(hosts.map((host) => host.kill()));
    return calls;
  };
  const few = await countCalls(12);
  const many = await countCalls(40);
  // A factor of two allows for late timers on a busy machine. If all 40 hosts called the store, there
  // would be more than three times as many calls.
  t.true(many <= 2 * few, `${many} calls of 40 hosts, ${few} of 12`);
});

test.serial("hosts learn of a change within 2 s when the store rejects both hubs and most fallback followers", async (t) => {
  const { store, hosts } = await startHosts(t, 16);
  for (const { host } of rankHubs(hosts.map(({ entry }) => entry)).slice(0, 8)) {
    store.rejectedHosts.add(host);
  }
  await wait(3_000);
  for (const key of ["s1", "s2", "s3"]) {
    store.write(TABLE.SERVERS, key, "{}");
    const writtenMs = performance.now();
    await waitUntil(() => hosts.every((host) => serverKeysOf(host).includes(key)));
    const takenMs = performance.now() - writtenMs;
    t.true(takenMs < 2_000, `${takenMs} ms`);
  }
});

test.serial("control traffic to a host stays within 2 KB a second while 120 hosts are live", async (t) => {
  const store = createMemoryStore();
  const hub = await startHost(t, store, makeEntry(0));
  const sockets = Array.from({ length: 120 }, (_, index) => {
    const [ip, port] = hub.entry.linkAddress.split(":");
    const socket = connect(Number(port), ip);
    socket.on("error", () => {});
    const entry = { ...makeEntry(index + 1), linkAddress: "127.0.0.1:1" };
    socket.write(
      `${
        JSON.stringify({ type: "hello", entry, isDraining: false, reports: [], revisions: {} })
      }\n`,
    );
    const pings = setInterval(() => {
      socket.write(`${JSON.stringify({ type: "ping", isDraining: false })}\n`);
    }, 300);
    socket.once("close", () => clearInterval(pings));
    t.teardown(() => socket.destroy());
    return socket;
  });
  await waitUntil(() => hub.fleet.liveHosts().length === 121);
  let bytes = 0;
  sockets[0]?.on("data", (chunk: Buffer) => bytes += chunk.length);
  await wait(1_000);
  bytes = 0;
  await wait(2_000);
  t.true(bytes / 2 <= 2_048, `${bytes / 2} bytes a second`);
});
