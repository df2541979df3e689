import { setImmediate as nextTurn } from "node:timers/promises";
import test from "ava";
import { createClock, createTaskGroup } from "@jaypass/kernel";
import type { Logger, Metrics } from "@jaypass/kernel";
import type { RowStore } from "@jaypass/fleet";
import { createClusterQuarantine } from "./create_cluster_quarantine.ts";

// Every host of a restart is a hub of its own until it has read the hosts.
test("a host reads the quarantines at once when it knows the hosts and is a hub, and not before", async (t) => {
  let isHub = true;
  let reads = 0;
  const quarantine = createClusterQuarantine({
    store: {
      readTable() {
        reads += 1;
        return Promise.resolve({ revision: 1, rows: [], isWhole: true, sinceRevision: undefined });
      },
    } as Partial<RowStore> as RowStore,
    sendGossip: () => {},
    isHub: () => isHub,
    clock: createClock(),
    log: { info() {}, warn() {} } as Partial<Logger> as Logger,
    metrics: {} as Metrics,
  });
  const tasks = createTaskGroup({ onError: (_name, err) => t.fail(String(err)) });
  quarantine.run(tasks);
  await nextTurn();
  t.is(reads, 0);
  quarantine.onHostsKnown();
  await nextTurn();
  t.is(reads, 1);
  await tasks.stop();

  isHub = false;
  const others = createTaskGroup({ onError: (_name, err) => t.fail(String(err)) });
  quarantine.run(others);
  await nextTurn();
  t.is(reads, 1);
  await others.stop();
});
