import test from "ava";
import {
  type ConfigChange,
  createConfiguration,
  type ManagedConfiguration,
  type StoredChange,
} from "@jaypass/configuration";
import {
  createTestAdministration,
  exampleDocument,
  exampleWorkspace,
  seededRandom,
  silentLog,
  type TestAdministration,
} from "@jaypass/configuration/testing";
import { createClock, createMetrics, sleep } from "@jaypass/kernel";
import { createMembership } from "@jaypass/membership";
import { createPeerPool, createPeerServer } from "@jaypass/peers";
import {
  createHostListClient,
  createObjectClient,
  createTableClient,
} from "@jaypass/store_clients";
import { createPlatformStandIn, type PlatformFaults } from "@jaypass/stand_ins";

const SEED = 11;
const HOSTS = 6;
const OPERATORS = 3;
const FAULT_DURATION_MS = 8_000;

/** Delay of late writes. After this time no commit is in flight. */
const LATE_WRITE_DELAY_MS = 400;

/** Requirement R9: every host applies an accepted change within this time. */
const PROPAGATION_LIMIT_MS = 8_000;

interface Host {
  configuration: ManagedConfiguration;
  admin: TestAdministration;
  stop(): Promise<void>;
}

/** Options of `startHost`. */
interface HostOptions {
  /** Receives a text for each decrease of the host's revision. */
  violations: string[];
  /** Called when the host has discovered other hosts, before its first poll of the store. */
  beforePoll?: () => void;
}

/** Starts a host with real store clients and peers, and checks that its revision only increases. */
async function startHost(id: string, baseUrl: string, options: HostOptions): Promise<Host> {
  const { violations, beforePoll } = options;
  const random = seededRandom(SEED + Number(id.slice(1)));
  const metrics = createMetrics({ tags: {} });
  const common = { clock: createClock(), random, metrics, log: silentLog };
  const client = { ...common, baseUrl, client: id };
  const table = createTableClient(client);
  const objects = createObjectClient(client);
  const hostList = createHostListClient(client);
  const server = createPeerServer({ ...common, listen: "127.0.0.1:0", tls: "off" });
  const peers = createPeerPool({ ...common, tls: "off" });
  const peerAddress = await server.listen();
  const self = { id, incarnation: "1", dataCentre: "gent", peerAddress, callerUrl: `http://${id}` };
  const membership = createMembership({ ...common, self, hostList, peers, server });
  await membership.start();
  while (beforePoll !== undefined && membership.hosts().length < 2) await sleep(20);
  beforePoll?.();
  const initialDocument = exampleDocument();
  const clients = { table, objects, peers, server, membership };
  const configuration = createConfiguration({ ...common, ...clients, initialDocument });
  let last = 0;
  configuration.onChange((_document, revision) => {
    if (revision <= last) violations.push(`Host "${id}" went from ${last} to ${revision}`);
    last = revision;
  });
  const admin = await createTestAdministration({ configuration, table, objects, metrics });
  return {
    configuration,
    admin,
    async stop() {
      await admin.close();
      await configuration.stop();
      await membership.stop();
      await peers.close();
      await server.stop(100);
      await Promise.all([table.close(), objects.close(), hostList.close()]);
    },
  };
}

/** Picks random faults for one host; in a third of the cases it has none. */
function pickRandomFaults(random: () => number): PlatformFaults {
  if (random() < 0.33) return {};
  return {
    ...(random() < 0.3 && { outage: random() < 0.5 ? "silent" as const : "refuse" as const }),
    ...(random() < 0.5 && { staleReads: { probability: 0.5, ageMs: 3_000 } }),
    ...(random() < 0.5 && { loseAnswers: { probability: 0.4 } }),
    ...(random() < 0.5 && { lateWrites: { probability: 0.3, delayMs: LATE_WRITE_DELAY_MS } }),
    ...(random() < 0.3 && { dropWrites: { probability: 0.3 } }),
  };
}

test("under random faults every confirmed change is stored once and no host reverts to an older revision", async (t) => {
  const random = seededRandom(SEED);
  const platform = await createPlatformStandIn({ random });
  t.teardown(() => platform.stop());
  const violations: string[] = [];
  const ids = Array.from({ length: HOSTS }, (_, n) => `h${n}`);
  const hosts = await Promise.all(ids.map((id) => startHost(id, platform.url, { violations })));
  t.teardown(() => Promise.all(hosts.map((host) => host.stop())));
  const ready = AbortSignal.timeout(PROPAGATION_LIMIT_MS);
  for (const { configuration } of hosts) await configuration.ready(ready);

  const confirmed = new Map<string, number>();
  const refused = new Set<string>();
  const faultEndMs = performance.now() + FAULT_DURATION_MS;
  const operate = async (operator: number) => {
    for (let n = 0; performance.now() < faultEndMs; n++) {
      const changeId = `operator-${operator}-change-${n}`;
      const first = Math.floor(random() * HOSTS);
      const name = `museum-${Math.floor(random() * 2)}`;
      const entry = { ...exampleWorkspace(name), maxConcurrent: 1 + operator * 1_000 + n };
      const baseRevision = hosts[first]!.configuration.revision();
      const changes = [{ section: "workspaces", entries: { [name]: entry } }];
      const request = { changes, why: "test", baseRevision, changeId };
      // Retries as the command line does: after status 503 at the next host, with the same id and base.
      for (let attempt = 0; attempt < HOSTS; attempt++) {
        const admin = hosts[(first + attempt) % HOSTS]!.admin;
        const { status, body } = await admin.post("/admin/v1/config/apply", request);
        if (status === 200 && !body.isUnchanged) confirmed.set(changeId, body.revision);
        if (status === 409 && body.error.change !== undefined) refused.add(changeId);
        if (status !== 503) break;
      }
      await sleep(20);
    }
  };
  const injectFaults = async () => {
    while (performance.now() < faultEndMs) {
      platform.setFaults(pickRandomFaults(random), {
        clients: [ids[Math.floor(random() * HOSTS)]!],
      });
      await sleep(150);
    }
    platform.setFaults({}, { reset: true });
  };
  await Promise.all([injectFaults(), ...Array.from({ length: OPERATORS }, (_, n) => operate(n))]);
  await sleep(2 * LATE_WRITE_DELAY_MS);

  const observer = createTableClient({
    baseUrl: platform.url,
    client: "observer",
    clock: createClock(),
    random,
    metrics: createMetrics({ tags: {} }),
  });
  t.teardown(() => observer.close());
  const rows = await observer.list<StoredChange>("config", {
    prefix: "changes/",
    timeoutMs: 5_000,
  });
  const stored: ConfigChange[] = rows.map(({ value }) => value);
  const head = stored.at(-1)!.revision;
  const limit = AbortSignal.timeout(PROPAGATION_LIMIT_MS);
  while (hosts.some(({ configuration }) => configuration.revision() < head)) {
    await sleep(20, limit);
  }
  t.log(`${head} revisions, ${confirmed.size} confirmed, ${refused.size} refused`);
  t.log(platform.counts().faults);

  t.deepEqual(violations, []);
  t.is(new Set(stored.map(({ changeId }) => changeId)).size, stored.length);
  t.deepEqual(stored.map(({ revision }) => revision), stored.map((_, n) => n + 1));
  for (const [changeId, revision] of confirmed) t.is(stored[revision - 1]?.changeId, changeId);
  for (const { changeId } of stored) t.false(refused.has(changeId), changeId);
  t.true(confirmed.size > 0);
  for (const { configuration } of hosts) {
    t.deepEqual(configuration.document(), hosts[0]!.configuration.document());
  }
});

test("while the store is down, hosts get a change and a starting host gets its document from peers within 8 s", async (t) => {
  const platform = await createPlatformStandIn();
  t.teardown(() => platform.stop());
  const violations: string[] = [];
  const ids = ["h0", "h1", "h2", "h3"];
  const hosts = await Promise.all(ids.map((id) => startHost(id, platform.url, { violations })));
  t.teardown(() => Promise.all(hosts.map((host) => host.stop())));
  const ready = AbortSignal.timeout(PROPAGATION_LIMIT_MS);
  for (const { configuration } of hosts) await configuration.ready(ready);

  // The host list of the platform fails together with the store, so the late host must discover the
  // other hosts before the outage.
  platform.setFaults({ outage: "silent" }, { clients: ids.slice(1) });
  const late = await startHost("h4", platform.url, {
    violations,
    beforePoll: () => platform.setFaults({ outage: "silent" }, { clients: ["h4"] }),
  });
  t.teardown(() => late.stop());
  // `membership.stop` does not return while the host list does not respond, so the outage ends first.
  t.teardown(() => platform.setFaults({}, { reset: true }));
  const answer = await hosts[0]!.admin.post("/admin/v1/config/data-centres/gent/state", {
    state: "out",
    why: "test",
  });
  t.is(answer.body.revision, 2);
  const limit = AbortSignal.timeout(PROPAGATION_LIMIT_MS);
  while ([...hosts, late].some(({ configuration }) => configuration.revision() < 2)) {
    await sleep(20, limit);
  }
  t.is(late.configuration.document().dataCentres.gent?.state, "out");
  t.deepEqual(violations, []);
});
