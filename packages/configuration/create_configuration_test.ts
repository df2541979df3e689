import test from "ava";
import { commitChange } from "./_lib/commit_change.ts";
import { exampleDocument, exampleWorkspace } from "./_testing/example_document.ts";
import { createTestHosts, type TestHost } from "./_testing/create_test_hosts.ts";
import type { StoredChange } from "./mod.ts";

/** Requirement R9: a stored change takes effect on all hosts within this time. */
const PROPAGATION_LIMIT_MS = 8_000;

/** Stores a change that follows the current revision of a host. */
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

/** Waits until hosts have reached a revision, at most for the time that R9 allows. */
async function waitForRevision(hosts: readonly TestHost[], revision: number): Promise<void> {
  const limit = AbortSignal.timeout(PROPAGATION_LIMIT_MS);
  while (hosts.some((host) => host.configuration.revision() < revision)) {
    limit.throwIfAborted();
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

test("of many hosts with an initial document one stores it, and all hosts load that one", async (t) => {
  const { hosts, store, violations, stop } = createTestHosts(18, exampleDocument());
  t.teardown(stop);
  await waitForRevision(hosts, 1);
  t.deepEqual(violations, []);
  t.is(store.objects.size, 1);
  t.is(store.rows().get("config/head")?.version, 1);
  t.is(hosts[17]!.configuration.document().backendServers["gent-1"]?.partition, 0);
});

test("a change takes effect on 18 hosts within 8 s, without reads of snapshots", async (t) => {
  const { hosts, violations, stop } = createTestHosts(18, exampleDocument());
  t.teardown(stop);
  await waitForRevision(hosts, 1);
  const snapshotReads = hosts.map(({ metrics }) =>
    metrics.counters()["configuration.snapshot_reads"]
  );
  for (const name of ["a", "b", "c"]) await storeChange(hosts[0]!, name);
  await waitForRevision(hosts, 4);
  t.truthy(hosts[17]!.configuration.document().workspaces.c);
  t.deepEqual(
    hosts.map(({ metrics }) => metrics.counters()["configuration.snapshot_reads"]),
    snapshotReads,
  );
  t.deepEqual(violations, []);
});

test("hosts isolated from their peers get a change from the store within 8 s", async (t) => {
  const { hosts, stop } = createTestHosts(3, exampleDocument());
  t.teardown(stop);
  await waitForRevision(hosts, 1);
  for (const host of hosts) host.network.setIsolated(true);
  await storeChange(hosts[0]!, "a");
  await waitForRevision(hosts, 2);
  t.pass();
});

test("hosts without access to the store get a change from their peers within 8 s", async (t) => {
  const { hosts, violations, stop } = createTestHosts(18, exampleDocument());
  t.teardown(stop);
  await waitForRevision(hosts, 1);
  for (const host of hosts.slice(1)) host.faults.isDown = true;
  await storeChange(hosts[0]!, "a");
  await waitForRevision(hosts, 2);
  t.deepEqual(violations, []);
});

test("stale reads do not lower the revision of a host, and peers provide the missing changes", async (t) => {
  const { hosts, store, violations, add, stop } = createTestHosts(4, exampleDocument());
  t.teardown(stop);
  await waitForRevision(hosts, 1);
  const commitsBefore = store.commits();
  for (const name of ["a", "b", "c"]) await storeChange(hosts[0]!, name);
  await waitForRevision(hosts, 4);
  // After the outage the store returns its state from before the three changes.
  for (const host of hosts) host.faults.isDown = true;
  await new Promise((resolve) => setTimeout(resolve, 200));
  for (const host of hosts) Object.assign(host.faults, { isDown: false, staleAt: commitsBefore });
  const lateHost = add((faults) => {
    faults.staleAt = commitsBefore;
  });
  await waitForRevision([lateHost], 4);
  const limit = AbortSignal.timeout(PROPAGATION_LIMIT_MS);
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
  await waitForRevision(hosts, 1);
  await storeChange(hosts[0]!, "a");
  await waitForRevision(hosts, 2);
  const lateHost = add((faults) => {
    faults.isDown = true;
  });
  await lateHost.configuration.ready(AbortSignal.timeout(PROPAGATION_LIMIT_MS));
  await waitForRevision([lateHost], 2);
  t.deepEqual(lateHost.configuration.document(), hosts[0]!.configuration.document());
  t.deepEqual(violations, []);
});

test("a host that is far behind after an outage loads a snapshot and the changes after it", async (t) => {
  const { hosts, violations, stop } = createTestHosts(2, exampleDocument());
  t.teardown(stop);
  await waitForRevision(hosts, 1);
  const [writer, isolated] = hosts as [TestHost, TestHost];
  isolated.network.setIsolated(true);
  isolated.faults.isDown = true;
  for (let n = 0; n < 210; n++) await storeChange(writer, `w${n}`);
  isolated.network.setIsolated(false);
  await waitForRevision(hosts, 211);
  t.is(isolated.metrics.counters()["configuration.peer_snapshot_bytes"]! > 0, true);
  t.deepEqual(isolated.configuration.document(), writer.configuration.document());
  t.deepEqual(violations, []);
});

test("a change whose previous change id is not the current one is refused", async (t) => {
  // After a restore from a backup, the store would assign revisions again to other changes.
  const { hosts, stop } = createTestHosts(1, exampleDocument());
  t.teardown(stop);
  await waitForRevision(hosts, 1);
  const [host] = hosts as [TestHost];
  const change = await storeChange(host, "a");
  const other = { ...change, revision: 3, changeId: "other", previousId: "not the one in force" };
  t.false(host.configuration.applyStoredChange(other));
  t.is(host.configuration.revision(), 2);
  t.is(host.metrics.counters()["configuration.divergent"], 1);
});

test("without store and peers, waiting for the document ends when the signal aborts", async (t) => {
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
