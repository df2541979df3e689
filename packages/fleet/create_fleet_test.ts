import { connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import type { ExecutionContext } from "ava";
import { createClock, createTaskGroup } from "@jaypass/kernel";
import type { Logger, Metrics } from "@jaypass/kernel";
import { createFleet } from "./create_fleet.ts";
import type { Fleet } from "./create_fleet.ts";
import { chooseHubs } from "./choose_hubs.ts";
import { rankHubs } from "./rank_hubs.ts";
import { createMemoryStore } from "./_testing/create_memory_store.ts";
import type { MemoryStore } from "./_testing/create_memory_store.ts";
import { TABLE } from "./types.ts";
import type { HostEntry } from "./types.ts";

type TestFleet = Fleet<string, string, string>;

interface TestHost {
  entry: HostEntry;
  fleet: TestFleet;
  /** Reports that this host got as a hub. */
  reports: string[];
  /** Ends the host as a killed process does. */
  kill(): Promise<void>;
}

const LOG: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: (fields, message) => console.error(message, fields),
  child: () => LOG,
};
const METRICS: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
  counters: () => ({}),
  close: () => Promise.resolve(),
};

/** Longest wait of a test for what must come about in about two seconds. */
const WAIT_MS = 10_000;

/** Bounds on a hub's decision. */
const TIMEOUTS = { answerMs: 500, waitMs: 5_000 };

let nextPort = 20_000 + (process.pid % 2_000) * 10;

function makeEntry(index: number): HostEntry {
  return {
    host: `h${index}`,
    linkAddress: `127.0.0.1:${nextPort++}`,
    callerAddress: `h${index}:80`,
    dataCentre: `dc${index % 2}`,
    weight: 0.5,
    incarnation: String(nextPort),
  };
}

async function startHost(
  t: ExecutionContext,
  store: MemoryStore,
  entry: HostEntry,
  currentReports: () => string[] = () => [],
): Promise<TestHost> {
  const reports: string[] = [];
  const tasks = createTaskGroup({ onError: (name, err) => t.log(name, err) });
  const fleet: TestFleet = createFleet({
    self: entry,
    store: store.storeOf(entry.host),
    desk: {
      place: async (host, job) => {
        if (job === "long" || job === "slow") await wait(1_000);
        if (job === "own" && host === entry.host) await wait(3_000);
        return `${job} of ${host} placed by ${entry.host}`;
      },
      report: (host, report) => void reports.push(`${host}: ${report}`),
      forget: (host) => void reports.push(`${host} left`),
    },
    currentReports,
    describeCancelled: (job) => `cancelled ${job}`,
    onChange: () => {},
    clock: createClock(),
    random: Math.random,
    log: LOG,
    metrics: METRICS,
    tasks,
  });
  await fleet.start();
  const kill = async () => {
    fleet.stop();
    await tasks.stop();
  };
  t.teardown(kill);
  return { entry, fleet, reports, kill };
}

async function startHosts(t: ExecutionContext, count: number) {
  const store = createMemoryStore();
  const entries = Array.from({ length: count }, (_, index) => makeEntry(index));
  const hosts = await Promise.all(entries.map((entry) => startHost(t, store, entry)));
  await until(() => hosts.every(({ fleet }) => fleet.liveHosts().length === count));
  const [first, second] = chooseHubs(entries);
  const hub = hosts.find(({ entry }) => entry === first);
  const standby = hosts.find(({ entry }) => entry === second);
  const members = hosts.filter((host) => host !== hub && host !== standby);
  if (hub === undefined || standby === undefined) throw new Error("No hubs");
  return { store, hosts, hub, standby, members };
}

async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  const clock = createClock();
  const endMs = clock.nowMs() + WAIT_MS;
  while (!await condition()) {
    if (clock.nowMs() > endMs) throw new Error("Not reached in time");
    await wait(10);
  }
}

const keysOf = ({ fleet }: TestHost) => fleet.rows(TABLE.SERVERS).map(({ key }) => key);

test("all hosts ask the same hub, and a change of the store reaches all of them", async (t) => {
  const { store, hosts, hub } = await startHosts(t, 4);
  store.write(TABLE.SERVERS, "s1", "{}");
  await until(() => hosts.every((host) => keysOf(host).includes("s1")));
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
    await until(() => reports.includes(`${member?.entry.host}: cancelled slow`));
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
  await until(() => standby.reports.includes(`${member?.entry.host}: running j1`));
  await hub.kill();
  await until(() => member?.fleet.liveHosts().length === 3);
  const answer = await member?.fleet.place("job", TIMEOUTS);
  t.is(answer?.by, standby.entry.host);
});

test("a killed host is no address of any host soon after", async (t) => {
  const { hosts, members: [killed] } = await startHosts(t, 4);
  await killed?.kill();
  const others = hosts.filter((host) => host !== killed);
  await until(() => others.every(({ fleet }) => fleet.liveHosts().length === 3));
  t.pass();
});

test("a host that leaves is no address of any host, itself included", async (t) => {
  const { hosts, members: [leaving] } = await startHosts(t, 4);
  await leaving?.fleet.leave();
  await until(() => hosts.every(({ fleet }) => fleet.liveHosts().length === 3));
  const named = hosts.flatMap(({ fleet }) => fleet.liveHosts()).map(({ host }) => host);
  t.false(named.includes(leaving?.entry.host ?? ""));
});

test("hubs that the store turns away learn of changes from the other hosts", async (t) => {
  const { store, hosts, hub, standby } = await startHosts(t, 4);
  store.turnedAway.add(hub.entry.host).add(standby.entry.host);
  store.write(TABLE.SERVERS, "s1", "{}");
  await until(() => hosts.every((host) => keysOf(host).includes("s1")));
  store.remove(TABLE.SERVERS, "s1");
  await until(() => hosts.every((host) => !keysOf(host).includes("s1")));
  t.pass();
});

test("a store that turned only one hub away does not count as having been away", async (t) => {
  const { store, hosts, hub } = await startHosts(t, 4);
  store.turnedAway.add(hub.entry.host);
  await wait(2_500);
  store.turnedAway.clear();
  await wait(1_500);
  const seen = hosts.map(({ fleet }) => fleet.storeRecoveredAgoMs());
  t.deepEqual(seen, hosts.map(() => Infinity));
});

test("a store that was away for all counts as back on every host", async (t) => {
  const { store, hosts } = await startHosts(t, 4);
  store.turnedAway.add("all");
  await wait(2_500);
  store.turnedAway.clear();
  await until(() => hosts.every(({ fleet }) => fleet.storeRecoveredAgoMs() < 2_000));
  t.pass();
});

test("a host that starts while the store is down learns everything from a hub", async (t) => {
  const { store, members: [member] } = await startHosts(t, 4);
  store.write(TABLE.SERVERS, "s1", "{}");
  await until(() => member !== undefined && keysOf(member).includes("s1"));
  store.turnedAway.add("all");
  if (member === undefined) return t.fail();
  await member.kill();
  const again = await startHost(t, store, { ...member.entry, incarnation: "again" });
  await until(() => keysOf(again).includes("s1") && again.fleet.liveHosts().length === 4);
  t.pass();
});

test("hosts whose store dropped its history read the tables whole", async (t) => {
  const { store, hosts } = await startHosts(t, 3);
  store.turnedAway.add("all");
  await wait(300);
  store.write(TABLE.SERVERS, "s1", "{}");
  store.compact();
  store.turnedAway.clear();
  await until(() => hosts.every((host) => keysOf(host).includes("s1")));
  t.pass();
});

test("a store that is down gets few calls", async (t) => {
  const { store } = await startHosts(t, 6);
  store.turnedAway.add("all");
  await wait(2_500);
  const before = store.calls();
  await wait(2_000);
  const calls = store.calls() - before;
  // One call a host and back-off of at least half a second, and one try a second to write a row.
  t.true(calls <= 6 * 4 * 2, `${calls} calls of 6 hosts in 2 s`);
});

test("a store that is down gets no more calls from many hosts than from few", async (t) => {
  const { store } = await startHosts(t, 40);
  store.turnedAway.add("all");
  await wait(1_500);
  const before = store.calls();
  await wait(1_000);
  const calls = store.calls() - before;
  // Two hubs and eight scouts, each with one call and its back-off of at least half a second.
  t.true(calls <= 10 * 3, `${calls} calls of 40 hosts in a second`);
});

test("hosts learn of a change in time when the store turns away both hubs and most scouts", async (t) => {
  const { store, hosts } = await startHosts(t, 16);
  for (const { host } of rankHubs(hosts.map(({ entry }) => entry)).slice(0, 8)) {
    store.turnedAway.add(host);
  }
  await wait(3_000);
  for (const key of ["s1", "s2", "s3"]) {
    store.write(TABLE.SERVERS, key, "{}");
    const writtenMs = performance.now();
    await until(() => hosts.every((host) => keysOf(host).includes(key)));
    const takenMs = performance.now() - writtenMs;
    t.true(takenMs < 2_000, `${takenMs} ms`);
  }
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
  await until(() => left.every((host) => valueOf(host) === describe(30)));
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
  await until(() => again.reports.includes(`${entry.host}: running j7`));
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

test("control traffic to a host stays within 2 KB a second while 120 hosts are live", async (t) => {
  const store = createMemoryStore();
  const hub = await startHost(t, store, makeEntry(0));
  const sockets = Array.from({ length: 120 }, (_, index) => {
    const socket = connect(Number(hub.entry.linkAddress.split(":")[1]), "127.0.0.1");
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
  await until(() => hub.fleet.liveHosts().length === 121);
  let bytes = 0;
  sockets[0]?.on("data", (chunk: Buffer) => bytes += chunk.length);
  await wait(1_000);
  bytes = 0;
  await wait(2_000);
  t.true(bytes / 2 <= 2_048, `${bytes / 2} bytes a second`);
});

test("a hub that starts again is a hub again before the lost process would be tried", async (t) => {
  const { store, hub, members: [member] } = await startHosts(t, 4);
  await hub.kill();
  await until(() => member?.fleet.liveHosts().length === 3);
  await startHost(t, store, { ...hub.entry, incarnation: "again" });
  const clock = createClock();
  const startMs = clock.nowMs();
  await until(async () => (await member?.fleet.place("job", TIMEOUTS))?.by === hub.entry.host);
  // Until then two hubs decide, and neither knows what the other one placed.
  t.true(clock.nowMs() - startMs < 1_000, `${clock.nowMs() - startMs} ms`);
});
