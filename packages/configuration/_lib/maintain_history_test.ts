import test from "ava";
import { createFakeStore } from "../_testing/create_fake_store.ts";
import { silentLog } from "../_testing/create_test_hosts.ts";
import { exampleDocument } from "../_testing/example_document.ts";
import { HISTORY_MAX_REVISIONS } from "../constants.ts";
import type { ConfigSnapshot } from "../types.ts";
import { changeKey } from "./change_key.ts";
import { maintainHistory } from "./maintain_history.ts";

/** Creates the current state of a long history, whose oldest stored change is revision 50. */
function createSnapshot(revision: number, snapshotRevision: number): ConfigSnapshot {
  return {
    revision,
    changeId: "last",
    snapshotRevision,
    snapshotName: `snapshot-${snapshotRevision}`,
    oldestRevision: 50,
    document: exampleDocument(),
  };
}

/** Creates a store with changes 50 to 60; those below 52 refer to an older snapshot. */
async function createStore() {
  const store = createFakeStore();
  const client = store.createClient();
  const writes = Array.from({ length: 11 }, (_, n) => 50 + n).map((revision) => ({
    table: "config",
    key: changeKey(revision),
    value: {
      revision,
      changeId: `c${revision}`,
      previousId: "",
      changes: [],
      who: "",
      why: "",
      whenMs: 0,
      snapshotRevision: revision < 52 ? 1 : 51,
      snapshotName: revision < 52 ? "old" : "kept",
      oldestRevision: 1,
    },
  }));
  await client.table.commit({ conditions: [], writes }, { timeoutMs: 100 });
  for (const name of ["old", "kept"]) store.objects.set(name, new Uint8Array());
  const options = { ...client, log: silentLog, signal: new AbortController().signal };
  return { store, client, options };
}

test("changes beyond the history limit are deleted with the snapshots that only they refer to", async (t) => {
  const { store, options } = await createStore();
  const step = await maintainHistory(createSnapshot(HISTORY_MAX_REVISIONS + 60, 1_050), options);
  t.deepEqual(step.deletedRevisions, [50, 51]);
  t.is(step.head.oldestRevision, 52);
  await step.deleteUnusedSnapshots();
  t.deepEqual([...store.objects.keys()], ["kept"]);
});

test("changes within the history limit or after the newest snapshot are not deleted", async (t) => {
  const { options } = await createStore();
  const withinLimit = await maintainHistory(
    createSnapshot(HISTORY_MAX_REVISIONS + 48, 1_040),
    options,
  );
  t.deepEqual(withinLimit.deletedRevisions, []);
  // A change after the newest snapshot is needed to rebuild the document.
  options.objects.put = () => Promise.reject(new Error("Store is down"));
  const withoutSnapshot = await maintainHistory(
    createSnapshot(HISTORY_MAX_REVISIONS + 400, 49),
    options,
  );
  t.deepEqual(withoutSnapshot.deletedRevisions, []);
});

test("a snapshot is stored before the head refers to it, and a failure keeps the old snapshot", async (t) => {
  const { store, client, options } = await createStore();
  const due = await maintainHistory(createSnapshot(200, 150), options);
  t.is(due.head.snapshotName, "config/snapshots/200-last");
  t.true(store.objects.has(due.head.snapshotName));
  client.faults.isDown = true;
  const failed = await maintainHistory(createSnapshot(200, 150), options);
  t.like(failed.head, { revision: 201, snapshotRevision: 150, snapshotName: "snapshot-150" });
});
