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
  /** Starts another host; faults may be set before its first poll. */
  add(setUp?: (faults: StoreFaults) => void): TestHost;
  /** Steps back and differing contents of one revision; must stay empty. */
  violations: string[];
  stop(): Promise<void>;
}

/** A logger that drops everything. */
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
 * Starts hosts that share a store and a network, and checks each of their steps.
 *
 * @param count number of hosts
 * @param initialDocument becomes revision 1
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
      // Comparing large documents for each host and revision would take longer than the test.
      if (Object.keys(document.workspaces).length > 1_000) return;
      const content = JSON.stringify(document, Object.keys(flatten(document)).sort());
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

/** Collects all keys of a document, which sorts them for the comparison. */
function flatten(value: unknown, keys: Record<string, true> = {}): Record<string, true> {
  if (typeof value === "object" && value !== null) {
    for (const [key, inner] of Object.entries(value)) {
      keys[key] = true;
      flatten(inner, keys);
    }
  }
  return keys;
}
