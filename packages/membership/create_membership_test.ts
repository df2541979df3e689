import { createVirtualNetwork, type VirtualHost } from "./_lib/create_virtual_network.ts";
import type { HostState } from "./types.ts";
import test from "ava";

const SEED = 4;
const names = (count: number) => Array.from({ length: count }, (_, n) => `h${n}`);
type Network = ReturnType<typeof createVirtualNetwork>;

async function startAll(count: number, options: { listLagMs?: number; settleMs?: number } = {}) {
  const network = createVirtualNetwork({ seed: SEED, listLagMs: options.listLagMs });
  const hosts = names(count).map((id) => network.start(id));
  await network.run(options.settleMs ?? 20_000);
  return { network, hosts };
}

/** How many of the running hosts see `id` in `state`, itself included. */
const seenAs = (network: Network, id: string, state: HostState) =>
  network.hosts().filter(({ membership }) => membership.find(id)?.state === state).length;

const allSeeAllAlive = (network: Network) => {
  const running = network.hosts();
  return running.every(({ id }) => seenAs(network, id, "alive") === running.length);
};

const total = (hosts: VirtualHost[], counter: string) =>
  hosts.reduce((sum, { metrics }) => sum + (metrics[counter] ?? 0), 0);

test("hosts find each other, and a dead one is marked by all within 15 s", async (t) => {
  const { network, hosts } = await startAll(18);
  t.true(allSeeAllAlive(network));
  network.kill(hosts[3]!);
  await network.run(15_000);
  t.is(seenAs(network, "h3", "dead"), 17);
  t.is(total(hosts, "membership_refutation"), 0);
});

test("a change of a digest, a leave and a broadcast reach all hosts within 1 s, once", async (t) => {
  const { network, hosts } = await startAll(60);
  const behind = new Set<string>();
  const revision = hosts.map(() => 1);
  const received: string[] = [];
  hosts.forEach(({ id, membership }, n) => {
    membership.addDigest({
      name: "revision",
      local: () => revision[n]!,
      onBehind(remote) {
        behind.add(id);
        revision[n] = remote;
        membership.push();
      },
    });
    membership.onBroadcast("quarantine", (payload) => received.push(`${id} ${payload}`));
  });
  await network.run(5_000);
  t.is(behind.size, 0);
  revision[7] = 2;
  hosts[7]!.membership.push();
  hosts[8]!.membership.leave();
  hosts[9]!.membership.broadcast("quarantine", "f00");
  await network.run(1_000);
  t.is(behind.size, 59);
  t.is(seenAs(network, "h8", "leaving"), 60);
  await network.run(70_000);
  t.deepEqual(
    received.sort(),
    names(60).filter((id) => id !== "h9").map((id) => `${id} f00`).sort(),
  );
});

test("a long row of changes is sent in few messages, and none is lost", async (t) => {
  const { network, hosts } = await startAll(60);
  const before = network.state.messages;
  const received = new Set<string>();
  hosts.forEach(({ id, membership }) =>
    membership.onBroadcast("load", (payload) => received.add(`${id} ${payload}`))
  );
  for (let n = 0; n < 100; n++) {
    hosts[n % 60]!.membership.broadcast("load", n);
    await network.run(100);
  }
  // 10 s, 4 links: a heartbeat and at most a push per 400 ms on each, with some at the start.
  t.true(network.state.messages - before <= 60 * 4 * (5 + 25 + 10));
  await network.run(5_000);
  t.is(received.size, 59 * 100);
});

test("a host that stops says so, without suspicion", async (t) => {
  const { network, hosts } = await startAll(6);
  const stopped = hosts[0]!.membership.stop();
  await network.run(1_500);
  await stopped;
  network.kill(hosts[0]!);
  t.is(seenAs(network, "h0", "dead"), 5);
});

test("a paused host that wakes up declares nobody else dead and is alive again", async (t) => {
  const { network, hosts } = await startAll(18);
  network.pause(hosts[5]!, true);
  await network.run(30_000);
  t.is(seenAs(network, "h5", "dead"), 17);
  const before = total(hosts, "membership_state_change");
  network.pause(hosts[5]!, false);
  await network.run(15_000);
  t.true(allSeeAllAlive(network));
  // All see the refutation, and the woken host its own death at most; nobody else changes.
  t.true(total(hosts, "membership_state_change") - before <= 18 + 2);
});

test("of two hosts, a paused one learns its own death from the other and is alive again", async (t) => {
  const { network, hosts } = await startAll(2);
  network.pause(hosts[1]!, true);
  await network.run(30_000);
  t.is(hosts[0]!.membership.find("h1")?.state, "dead");
  network.pause(hosts[1]!, false);
  await network.run(10_000);
  t.true(allSeeAllAlive(network));
});

test("a host that slept through the refutation of a suspect does not declare it dead", async (t) => {
  const { network, hosts } = await startAll(18);
  const [sleeper, suspect] = [hosts[5]!, hosts[8]!];
  network.block((a, b) => (a === "h8") !== (b === "h8"));
  while (sleeper.membership.find("h8")?.state !== "suspect") await network.run(100);
  network.pause(sleeper, true);
  network.block(() => false);
  await network.run(30_000);
  t.is(suspect.membership.find("h8")?.state, "alive");
  network.pause(sleeper, false);
  for (let step = 0; step < 100; step++) {
    await network.run(1);
    t.not(sleeper.membership.find("h8")?.state, "dead");
  }
  await network.run(10_000);
  t.true(allSeeAllAlive(network));
});

test("hosts that are starved of processor time mark nobody dead", async (t) => {
  const { network, hosts } = await startAll(18);
  // Each host runs for 100 ms in every 2 s, at its own phase.
  for (let step = 0; step < 600; step++) {
    hosts.forEach((host, n) => network.pause(host, (step + n * 7) % 20 !== 0));
    await network.run(100);
    t.is(hosts.filter(({ id }) => seenAs(network, id, "dead") > 0).length, 0);
  }
  hosts.forEach((host) => network.pause(host, false));
  await network.run(10_000);
  t.true(allSeeAllAlive(network));
});

test("silence between two hosts in one direction is no reason for suspicion", async (t) => {
  const { network, hosts } = await startAll(18);
  for (const [from, to] of [["h2", "h3"], ["h3", "h9"], ["h9", "h2"], ["h4", "h2"]]) {
    network.block((a, b) => a === from && b === to);
    await network.run(40_000);
    t.true(allSeeAllAlive(network), `${from} to ${to}`);
  }
  t.is(total(hosts, "membership_refutation"), 0);
});

test("a host that is cut off alone marks nobody, and is back after the cut", async (t) => {
  const { network, hosts } = await startAll(18);
  network.block((a, b) => (a === "h6") !== (b === "h6"));
  await network.run(60_000);
  t.is(seenAs(network, "h6", "dead"), 17);
  t.is(hosts[6]!.membership.hosts().filter(({ state }) => state !== "alive").length, 0);
  network.block(() => false);
  await network.run(20_000);
  t.true(allSeeAllAlive(network));
});

test("a third of the hosts restarted at once at the same addresses replaces the old ones", async (t) => {
  const { network, hosts } = await startAll(30);
  const restarted = hosts.slice(0, 10);
  restarted.forEach((host) => network.kill(host));
  await network.run(1_000);
  const startMs = String(network.clock.nowMs()).padStart(9, "0");
  restarted.forEach(({ id }) => network.start(id));
  await network.run(20_000);
  t.true(allSeeAllAlive(network));
  for (const { membership } of network.hosts()) {
    t.true(restarted.every(({ id }) => membership.find(id)?.incarnation === startMs));
  }
  t.deepEqual(await identify(network, hosts[29]!, hosts[0]!.address), {
    host: "h0",
    incarnation: startMs,
  });
});

async function identify(network: Network, from: VirtualHost, address: string) {
  const answer = from.membership.askIncarnation(address);
  await network.run(100);
  return await answer;
}

test("hosts that start at once find each other although the host list lags by a minute", async (t) => {
  const { network } = await startAll(18, { listLagMs: 60_000, settleMs: 80_000 });
  t.true(allSeeAllAlive(network));
});

test("with the host list down, dead hosts are found, and a restarted one is back", async (t) => {
  const { network, hosts } = await startAll(12);
  network.state.isListDown = true;
  network.kill(hosts[4]!);
  await network.run(20_000);
  t.is(seenAs(network, "h4", "dead"), 11);
  network.start("h4");
  await network.run(60_000);
  t.true(allSeeAllAlive(network));
});

test("a host that no list names any more is found again at its remembered address", async (t) => {
  const { network, hosts } = await startAll(6);
  const stopped = hosts[4]!.membership.stop();
  await network.run(5_000);
  await stopped;
  network.kill(hosts[4]!);
  // Longer than the slowest interval between two readings of the list.
  await network.run(400_000);
  network.state.isListDown = true;
  network.start("h4");
  await network.run(60_000);
  t.true(allSeeAllAlive(network));
});

test("two halves that part serve on, and see each other again when they meet", async (t) => {
  const { network } = await startAll(24);
  const half = (id: string) => Number(id.slice(1)) % 2;
  network.block((a, b) => half(a) !== half(b));
  await network.run(120_000);
  for (const { id, membership } of network.hosts()) {
    const alive = membership.hosts().filter(({ state }) => state === "alive").map((host) =>
      host.id
    );
    t.deepEqual(alive.sort(), names(24).filter((other) => half(other) === half(id)).sort());
  }
  network.block(() => false);
  await network.run(30_000);
  t.true(allSeeAllAlive(network));
});

test("a dead host is forgotten after its tombstone's lifetime and does not come back", async (t) => {
  const { network, hosts } = await startAll(5);
  network.kill(hosts[1]!);
  await network.run(7_300_000);
  t.true(network.hosts().every(({ membership }) => membership.find("h1") === undefined));
});
