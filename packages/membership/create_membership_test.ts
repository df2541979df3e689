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

/** Number of running hosts that see `id` in `state`, itself included. */
const seenAs = (network: Network, id: string, state: HostState) =>
  network.hosts().filter(({ membership }) => membership.find(id)?.state === state).length;

const allSeeAllAlive = (network: Network) => {
  const running = network.hosts();
  return running.every(({ id }) => seenAs(network, id, "alive") === running.length);
};

const total = (hosts: VirtualHost[], counter: string) =>
  hosts.reduce((sum, { metrics }) => sum + (metrics[counter] ?? 0), 0);

test("hosts find each other, and all of them mark a killed host as dead within 15 s", async (t) => {
  const { network, hosts } = await startAll(18);
  t.true(allSeeAllAlive(network));
  network.kill(hosts[3]!);
  await network.run(15_000);
  t.is(seenAs(network, "h3", "dead"), 17);
  t.is(total(hosts, "membership_refutation"), 0);
});

test("a digest change, a leave and a broadcast reach all hosts within 1 s, the broadcast once", async (t) => {
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

test("a long series of broadcasts is batched into few messages, and none is lost", async (t) => {
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
  // In 10 s, each of the 4 links of a host sends 5 heartbeats and at most one push per 400 ms, plus
  // some more pushes at the start.
  t.true(network.state.messages - before <= 60 * 4 * (5 + 25 + 10));
  await network.run(5_000);
  t.is(received.size, 59 * 100);
});

test("a host that stops is marked as dead within 1.5 s, without being suspected first", async (t) => {
  const { network, hosts } = await startAll(6);
  const stopped = hosts[0]!.membership.stop();
  await network.run(1_500);
  await stopped;
  network.kill(hosts[0]!);
  t.is(seenAs(network, "h0", "dead"), 5);
});

test("a resumed host marks no other host as dead and is alive again", async (t) => {
  const { network, hosts } = await startAll(18);
  network.pause(hosts[5]!, true);
  await network.run(30_000);
  t.is(seenAs(network, "h5", "dead"), 17);
  const before = total(hosts, "membership_state_change");
  network.pause(hosts[5]!, false);
  await network.run(15_000);
  t.true(allSeeAllAlive(network));
  // All 18 hosts see the refutation, and the resumed host may also see its own record as dead. No
  // other host changes its state.
  t.true(total(hosts, "membership_state_change") - before <= 18 + 2);
});

test("of two hosts, a resumed one learns from the other that it was marked as dead and refutes it", async (t) => {
  const { network, hosts } = await startAll(2);
  network.pause(hosts[1]!, true);
  await network.run(30_000);
  t.is(hosts[0]!.membership.find("h1")?.state, "dead");
  network.pause(hosts[1]!, false);
  await network.run(10_000);
  t.true(allSeeAllAlive(network));
});

test("a host that was paused during the refutation of a suspect does not mark it as dead", async (t) => {
  const { network, hosts } = await startAll(18);
  const [paused, suspect] = [hosts[5]!, hosts[8]!];
  network.block((a, b) => (a === "h8") !== (b === "h8"));
  while (paused.membership.find("h8")?.state !== "suspect") await network.run(100);
  network.pause(paused, true);
  network.block(() => false);
  await network.run(30_000);
  t.is(suspect.membership.find("h8")?.state, "alive");
  network.pause(paused, false);
  for (let step = 0; step < 100; step++) {
    await network.run(1);
    t.not(paused.membership.find("h8")?.state, "dead");
  }
  await network.run(10_000);
  t.true(allSeeAllAlive(network));
});

test("hosts that are starved of processor time mark no host as dead", async (t) => {
  const { network, hosts } = await startAll(18);
  // Each host runs for 100 ms in every 2 s, at a different offset.
  for (let step = 0; step < 600; step++) {
    hosts.forEach((host, n) => network.pause(host, (step + n * 7) % 20 !== 0));
    await network.run(100);
    t.is(hosts.filter(({ id }) => seenAs(network, id, "dead") > 0).length, 0);
  }
  hosts.forEach((host) => network.pause(host, false));
  await network.run(10_000);
  t.true(allSeeAllAlive(network));
});

test("messages lost between two hosts in one direction do not cause a suspicion", async (t) => {
  const { network, hosts } = await startAll(18);
  for (const [from, to] of [["h2", "h3"], ["h3", "h9"], ["h9", "h2"], ["h4", "h2"]]) {
    network.block((a, b) => a === from && b === to);
    await network.run(40_000);
    t.true(allSeeAllAlive(network), `${from} to ${to}`);
  }
  t.is(total(hosts, "membership_refutation"), 0);
});

test("an isolated host marks no other host, and is alive again after the partition", async (t) => {
  const { network, hosts } = await startAll(18);
  network.block((a, b) => (a === "h6") !== (b === "h6"));
  await network.run(60_000);
  t.is(seenAs(network, "h6", "dead"), 17);
  t.is(hosts[6]!.membership.hosts().filter(({ state }) => state !== "alive").length, 0);
  network.block(() => false);
  await network.run(20_000);
  t.true(allSeeAllAlive(network));
});

test("when a third of the hosts restart at the same addresses, the new processes replace the old", async (t) => {
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

test("hosts that start at the same time find each other although the host list lags by a minute", async (t) => {
  const { network } = await startAll(18, { listLagMs: 60_000, settleMs: 80_000 });
  t.true(allSeeAllAlive(network));
});

test("while the host list is down, a dead host is detected, and found again after its restart", async (t) => {
  const { network, hosts } = await startAll(12);
  network.state.isListDown = true;
  network.kill(hosts[4]!);
  await network.run(20_000);
  t.is(seenAs(network, "h4", "dead"), 11);
  network.start("h4");
  await network.run(60_000);
  t.true(allSeeAllAlive(network));
});

test("a restarted host that is not in the host list is found at its remembered address", async (t) => {
  const { network, hosts } = await startAll(6);
  const stopped = hosts[4]!.membership.stop();
  await network.run(5_000);
  await stopped;
  network.kill(hosts[4]!);
  // Longer than the longest interval between two reads of the list.
  await network.run(400_000);
  network.state.isListDown = true;
  network.start("h4");
  await network.run(60_000);
  t.true(allSeeAllAlive(network));
});

test("during a partition each half sees its own hosts as alive, and afterwards both see all", async (t) => {
  const { network } = await startAll(24);
  const halfOf = (id: string) => Number(id.slice(1)) % 2;
  network.block((a, b) => halfOf(a) !== halfOf(b));
  await network.run(120_000);
  for (const { id, membership } of network.hosts()) {
    const alive = membership.hosts().filter(({ state }) => state === "alive").map((host) =>
      host.id
    );
    t.deepEqual(alive.sort(), names(24).filter((other) => halfOf(other) === halfOf(id)).sort());
  }
  network.block(() => false);
  await network.run(30_000);
  t.true(allSeeAllAlive(network));
});

test("a dead host is dropped when its tombstone expires and does not reappear", async (t) => {
  const { network, hosts } = await startAll(5);
  network.kill(hosts[1]!);
  await network.run(7_300_000);
  t.true(network.hosts().every(({ membership }) => membership.find("h1") === undefined));
});
