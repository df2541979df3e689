import { createClock, createMetrics } from "@jaypass/kernel";
import type { Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createConfiguration } from "../create_configuration.ts";
import type { ConfigDocument, ManagedConfiguration } from "../types.ts";
import { createFakeNetwork, type FakeHost, type FakeNetwork } from "./create_fake_network.ts";
import { createFakeStore, type FakeStore, type StoreFaults } from "./create_fake_store.ts";

/** One host of a test. */
export interface TestHost {
  id: string;
  configuration: ManagedConfiguration;
  table: TableClient;
  objects: ObjectClient;
  faults: StoreFaults;
  network: FakeHost;
  metrics: Metrics;
  stop(): Promise<void>;
}

/** Hosts that share a store and a network in one process. */
export interface TestHosts {
  store: FakeStore;
  network: FakeNetwork;
  hosts: TestHost[];
  /** Starts another host; `setUp` may set faults before its first poll. */
  add(setUp?: (faults: StoreFaults) => void): TestHost;
  /** Revisions that decreased or whose content differed between hosts; must stay empty. */
  violations: string[];
  stop(): Promise<void>;
}

/** A logger that discards all lines. */
export const silentLog: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
  child: () => silentLog,
};

/** Creates a seeded random source. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Starts hosts that share a store and a network, and checks each revision that they reach.
 *
 * @param count number of hosts
 * @param initialDocument document that is stored as revision 1
 */
export function createTestHosts(count: number, initialDocument?: ConfigDocument): TestHosts {
  const store = createFakeStore();
  const network = createFakeNetwork();
  const violations: string[] = [];
  const contents = new Map<number, string>();
  const hosts: TestHost[] = [];

  const add = (setUp?: (faults: StoreFaults) => void) => {
    const id = `h${String(hosts.length).padStart(3, "0")}`;
    const client = store.createClient();
    setUp?.(client.faults);
    const host = network.createHost(id);
    const metrics = createMetrics({ tags: {} });
    const configuration = createConfiguration({
      table: client.table,
      objects: client.objects,
      peers: host.peers,
      server: host.server,
      membership: host.membership,
      clock: createClock(),
      random: seededRandom(hosts.length + 1),
      log: silentLog,
      metrics,
      initialDocument,
    });
    let last = 0;
    configuration.onChange((document, revision) => {
      if (revision <= last) violations.push(`${id} went from ${last} to ${revision}`);
      last = revision;
      // Large documents are not compared, as that would take longer than the test itself.
      if (Object.keys(document.workspaces).length > 1_000) return;
      const content = JSON.stringify(document, Object.keys(collectKeys(document)).sort());
      const known = contents.get(revision) ?? content;
      contents.set(revision, known);
      if (known !== content) violations.push(`${id} has another content of ${revision}`);
    });
    const entry: TestHost = {
      id,
      configuration,
      ...client,
      network: host,
      metrics,
      async stop() {
        host.stop();
        await configuration.stop();
      },
    };
    hosts.push(entry);
    return entry;
  };
  for (let n = 0; n < count; n++) add();
  return {
    store,
    network,
    hosts,
    add,
    violations,
    async stop() {
      await Promise.all(hosts.map((host) => host.stop()));
    },
  };
}

/** Collects the keys of a value at all depths, for a comparison independent of their order. */
function collectKeys(value: unknown, keys: Record<string, true> = {}): Record<string, true> {
  if (typeof value === "object" && value !== null) {
    for (const [key, inner] of Object.entries(value)) {
      keys[key] = true;
      collectKeys(inner, keys);
    }
  }
  return keys;
}
