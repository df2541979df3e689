import test from "ava";
import { createFakeStore } from "../_testing/create_fake_store.ts";
import { silentLog } from "../_testing/create_test_hosts.ts";
import { exampleDocument } from "../_testing/example_document.ts";
import { HISTORY_MAX_REVISIONS } from "../constants.ts";
import type { ConfigSnapshot } from "../types.ts";
import { changeKey } from "./change_key.ts";
import { maintainHistory } from "./maintain_history.ts";

/** The position of a long history whose oldest change is `oldestRevision`. */
function position(revision: number, snapshotRevision: number): ConfigSnapshot {
  return {
    revision,
    changeId: "last",
    snapshotRevision,
    snapshotName: `snapshot-${snapshotRevision}`,
    oldestRevision: 50,
    document: exampleDocument(),
  };
}

/** A store with changes 50 to 60, of which those below 52 rest on an older snapshot. */
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

test("changes beyond the bound are deleted with the snapshots that only they need", async (t) => {
  const { store, options } = await createStore();
  const step = await maintainHistory(position(HISTORY_MAX_REVISIONS + 60, 1_050), options);
  t.deepEqual(step.deletedRevisions, [50, 51]);
  t.is(step.head.oldestRevision, 52);
  await step.deleteUnusedSnapshots();
  t.deepEqual([...store.objects.keys()], ["kept"]);
});

test("no change is deleted below the bound or above the newest snapshot", async (t) => {
  const { options } = await createStore();
  const young = await maintainHistory(position(HISTORY_MAX_REVISIONS + 48, 1_040), options);
  t.deepEqual(young.deletedRevisions, []);
  // Without a snapshot at or above it, a change is still needed to rebuild the document.
  options.objects.put = () => Promise.reject(new Error("Store is down"));
  const unsaved = await maintainHistory(position(HISTORY_MAX_REVISIONS + 400, 49), options);
  t.deepEqual(unsaved.deletedRevisions, []);
});

test("a snapshot is stored before the head names it, and a failure keeps the old name", async (t) => {
  const { store, client, options } = await createStore();
  const due = await maintainHistory(position(200, 150), options);
  t.is(due.head.snapshotName, "config/snapshots/200-last");
  t.true(store.objects.has(due.head.snapshotName));
  client.faults.isDown = true;
  const failed = await maintainHistory(position(200, 150), options);
  t.like(failed.head, { revision: 201, snapshotRevision: 150, snapshotName: "snapshot-150" });
});
