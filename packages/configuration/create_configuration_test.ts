import test from "ava";
import { commitChange } from "./_lib/commit_change.ts";
import { exampleDocument, exampleWorkspace } from "./_testing/example_document.ts";
import { createTestHosts, type TestHost } from "./_testing/create_test_hosts.ts";
import type { StoredChange } from "./mod.ts";

/** R9: an accepted change is in force everywhere within this time. */
const IN_FORCE_MS = 8_000;

/** Stores the change that follows the one in force at a host. */
async function storeChange(host: TestHost, name: string): Promise<StoredChange> {
  const { changeId: previousId, document: _document, ...head } = host.configuration.snapshot();
  const change: StoredChange = {
    ...head,
    previousId,
    revision: head.revision + 1,
    changeId: `change-${name}`,
    changes: [{ section: "workspaces", entries: { [name]: exampleWorkspace(name) } }],
    who: "test",
    why: "test",
    whenMs: 0,
  };
  const result = await commitChange(change, {
    table: host.table,
    metrics: host.metrics,
    random: Math.random,
    signal: AbortSignal.timeout(5_000),
  });
  if (result.outcome !== "done") throw new Error(result.outcome);
  host.configuration.applyStoredChange(change);
  return change;
}

/** Waits until hosts have a revision, at most the time of R9. */
async function reach(hosts: readonly TestHost[], revision: number): Promise<void> {
  const limit = AbortSignal.timeout(IN_FORCE_MS);
  while (hosts.some((host) => host.configuration.revision() < revision)) {
    limit.throwIfAborted();
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

test("of many hosts with an initial document one stores it, and all get the same", async (t) => {
  const { hosts, store, violations, stop } = createTestHosts(18, exampleDocument());
  t.teardown(stop);
  await reach(hosts, 1);
  t.deepEqual(violations, []);
  t.is(store.objects.size, 1);
  t.is(store.rows().get("config/head")?.version, 1);
  t.is(hosts[17]!.configuration.document().backendServers["gent-1"]?.partition, 0);
});

test("a change is in force on 18 hosts within 8 s, without reads of whole documents", async (t) => {
  const { hosts, violations, stop } = createTestHosts(18, exampleDocument());
  t.teardown(stop);
  await reach(hosts, 1);
  const snapshotReads = hosts.map(({ metrics }) =>
    metrics.counters()["configuration.snapshot_reads"]
  );
  for (const name of ["a", "b", "c"]) await storeChange(hosts[0]!, name);
  await reach(hosts, 4);
  t.truthy(hosts[17]!.configuration.document().workspaces.c);
  t.deepEqual(
    hosts.map(({ metrics }) => metrics.counters()["configuration.snapshot_reads"]),
    snapshotReads,
  );
  t.deepEqual(violations, []);
});

test("hosts cut off from their peers still get a change from the store in 8 s", async (t) => {
  const { hosts, stop } = createTestHosts(3, exampleDocument());
  t.teardown(stop);
  await reach(hosts, 1);
  for (const host of hosts) host.network.setIsolated(true);
  await storeChange(hosts[0]!, "a");
  await reach(hosts, 2);
  t.pass();
});

test("hosts without the store get a change from their peers in 8 s", async (t) => {
  const { hosts, violations, stop } = createTestHosts(18, exampleDocument());
  t.teardown(stop);
  await reach(hosts, 1);
  for (const host of hosts.slice(1)) host.faults.isDown = true;
  await storeChange(hosts[0]!, "a");
  await reach(hosts, 2);
  t.deepEqual(violations, []);
});

test("a store that answers from the past takes no host back, and peers fill the gap", async (t) => {
  const { hosts, store, violations, add, stop } = createTestHosts(4, exampleDocument());
  t.teardown(stop);
  await reach(hosts, 1);
  const past = store.commits();
  for (const name of ["a", "b", "c"]) await storeChange(hosts[0]!, name);
  await reach(hosts, 4);
  // The outage is followed by answers from before the three changes.
  for (const host of hosts) host.faults.isDown = true;
  await new Promise((resolve) => setTimeout(resolve, 200));
  for (const host of hosts) Object.assign(host.faults, { isDown: false, staleAt: past });
  const late = add((faults) => {
    faults.staleAt = past;
  });
  await reach([late], 4);
  const limit = AbortSignal.timeout(IN_FORCE_MS);
  const staleReads = ({ metrics }: TestHost) =>
    metrics.counters()["configuration.stale_heads"] ?? 0;
  while (!hosts.every((host) => staleReads(host) > 0)) {
    limit.throwIfAborted();
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  t.true(hosts.every((host) => host.configuration.revision() === 4));
  t.deepEqual(violations, []);
});

test("a host that starts while the store is down gets the document from peers", async (t) => {
  const { hosts, violations, add, stop } = createTestHosts(3, exampleDocument());
  t.teardown(stop);
  await reach(hosts, 1);
  await storeChange(hosts[0]!, "a");
  await reach(hosts, 2);
  const late = add((faults) => {
    faults.isDown = true;
  });
  await late.configuration.ready(AbortSignal.timeout(IN_FORCE_MS));
  await reach([late], 2);
  t.deepEqual(late.configuration.document(), hosts[0]!.configuration.document());
  t.deepEqual(violations, []);
});

test("a host that comes back far behind loads a snapshot and the changes after it", async (t) => {
  const { hosts, violations, stop } = createTestHosts(2, exampleDocument());
  t.teardown(stop);
  await reach(hosts, 1);
  const [writer, cutOff] = hosts as [TestHost, TestHost];
  cutOff.network.setIsolated(true);
  cutOff.faults.isDown = true;
  for (let n = 0; n < 210; n++) await storeChange(writer, `w${n}`);
  cutOff.network.setIsolated(false);
  await reach(hosts, 211);
  t.is(cutOff.metrics.counters()["configuration.peer_snapshot_bytes"]! > 0, true);
  t.deepEqual(cutOff.configuration.document(), writer.configuration.document());
  t.deepEqual(violations, []);
});

test("a change that does not follow the one in force is refused", async (t) => {
  // A store restored from a backup would reuse revisions for other contents.
  const { hosts, stop } = createTestHosts(1, exampleDocument());
  t.teardown(stop);
  await reach(hosts, 1);
  const [host] = hosts as [TestHost];
  const change = await storeChange(host, "a");
  const other = { ...change, revision: 3, changeId: "other", previousId: "not the one in force" };
  t.false(host.configuration.applyStoredChange(other));
  t.is(host.configuration.revision(), 2);
  t.is(host.metrics.counters()["configuration.divergent"], 1);
});

test("without a store and peers, waiting for the document ends with the signal", async (t) => {
  const { add, stop } = createTestHosts(0);
  t.teardown(stop);
  const host = add((faults) => {
    faults.isDown = true;
  });
  await t.throwsAsync(() => host.configuration.ready(AbortSignal.timeout(50)), {
    name: "AbortedError",
  });
  t.is(host.configuration.revision(), 0);
});
