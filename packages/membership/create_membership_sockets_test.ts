import { createClock, createMetrics, type Logger, sleep } from "@jaypass/kernel";
import { createMembership, type MembershipService } from "./create_membership.ts";
import { createPeerPool, createPeerServer } from "@jaypass/peers";
import type { ListedHost } from "@jaypass/store_clients";
import { readFileSync } from "node:fs";
import test from "ava";

const log: Logger = { debug() {}, info() {}, warn() {}, error() {}, child: () => log };
const key = (name: string) =>
  readFileSync(new URL(`../peers/test_keys/${name}.pem`, import.meta.url), "utf8");
const tls = { ca: key("ca"), cert: key("host"), key: key("host_key") };

/** Waits without an own limit; the runner's timeout ends a test that never gets there. */
async function until(isMet: () => boolean) {
  while (!isMet()) await sleep(20);
}

test("over TLS, hosts find each other, pass on a digest and a broadcast, and stop", async (t) => {
  const clock = createClock();
  const metrics = createMetrics({ tags: {} });
  const listed = new Map<string, ListedHost>();
  const hostList = {
    list: () => Promise.resolve([...listed.values()]),
    register: (host: ListedHost) => Promise.resolve(void listed.set(host.id, host)),
    remove: (id: string) => Promise.resolve(void listed.delete(id)),
  };
  const start = async (id: string) => {
    const server = createPeerServer({ listen: "127.0.0.1:0", tls, log, metrics });
    const peerAddress = await server.listen();
    const peers = createPeerPool({ tls, clock, metrics });
    const self = { id, incarnation: "1", dataCentre: "gent", peerAddress, callerUrl: "" };
    const parts = { hostList, peers, server, clock, random: Math.random, log, metrics };
    const membership = createMembership({ self, ...parts });
    await membership.start();
    t.teardown(async () => {
      await peers.close();
      await server.stop(0);
    });
    return membership;
  };
  const all: MembershipService[] = await Promise.all(["h1", "h2", "h3"].map(start));
  const alive = (one: MembershipService) =>
    one.hosts().filter(({ state }) => state === "alive").length;
  await until(() => all.every((one) => alive(one) === 3));

  const revisions = [3, 0, 0];
  const received: unknown[] = [];
  all.forEach((membership, n) => {
    membership.onBroadcast("quarantine", (payload) => received.push(payload));
    membership.addDigest({
      name: "revision",
      local: () => revisions[n]!,
      onBehind: (remote) => void (revisions[n] = remote),
    });
  });
  all[1]!.broadcast("quarantine", { fingerprint: "f00" });
  await until(() => revisions.every((revision) => revision === 3) && received.length === 2);
  t.deepEqual(received, [{ fingerprint: "f00" }, { fingerprint: "f00" }]);
  const answer = await all[0]!.askIncarnation(all[2]!.self().peerAddress);
  t.deepEqual(answer, { host: "h3", incarnation: "1" });

  await all[2]!.stop();
  await until(() => alive(all[0]!) === 2);
  await Promise.all([all[0]!.stop(), all[1]!.stop()]);
  t.is(listed.size, 0);
});
