import { randomUUID } from "node:crypto";
import { sleep } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import { OBJECT_STORE_TIMEOUT_MS } from "../constants.ts";
import type { ConfigDocument, ConfigSnapshot, StoredChange } from "../types.ts";
import { assignPartitions } from "./assign_partitions.ts";
import { commitChange } from "./commit_change.ts";
import type { DocumentReplica } from "./create_document_replica.ts";
import { readHead } from "./read_head.ts";
import { encodeSnapshot } from "./snapshot_codec.ts";

/** What storing the first document needs. */
export interface StoreInitialDocumentOptions {
  table: TableClient;
  objects: ObjectClient;
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  signal: AbortSignal;
}

/** Longest random wait, so that of many hosts that start together few write a snapshot. */
const SPREAD_MS = 500;

/** Limit for settling the outcome; the next poll shows who won. */
const SETTLE_TIMEOUT_MS = 5_000;

/**
 * Stores a document as revision 1 when the store holds none.
 *
 * The document goes into the object store, because it may be too large for a row.
 *
 * @param holder the document in force, at revision 0
 * @param document checked document
 * @param options clients, clock and randomness
 * @throws {StoreError} when the store does not answer
 */
export async function storeInitialDocument(
  holder: DocumentReplica,
  document: ConfigDocument,
  options: StoreInitialDocumentOptions,
): Promise<void> {
  const { table, objects, clock, random, log, metrics, signal } = options;
  await sleep(SPREAD_MS * random(), signal);
  if (holder.current().revision > 0) return;
  if (await readHead(table, { metrics, signal }) !== undefined) return;

  const changeId = randomUUID();
  const snapshot: ConfigSnapshot = {
    revision: 1,
    changeId,
    snapshotRevision: 1,
    snapshotName: `config/snapshots/1-${changeId}`,
    oldestRevision: 1,
    document: { ...document, backendServers: assignPartitions(document.backendServers) },
  };
  const call = { timeoutMs: OBJECT_STORE_TIMEOUT_MS, signal };
  await objects.put(snapshot.snapshotName, await encodeSnapshot(snapshot), call);
  const { document: _document, ...head } = snapshot;
  const change: StoredChange = {
    ...head,
    previousId: "",
    changes: [],
    who: "initial document",
    why: "The store held no document",
    whenMs: clock.wallMs(),
  };
  const limit = AbortSignal.any([signal, AbortSignal.timeout(SETTLE_TIMEOUT_MS)]);
  const result = await commitChange(change, { table, metrics, random, signal: limit });
  log.info({ outcome: result.outcome }, "Initial configuration document offered");
  if (result.outcome === "done") holder.load(snapshot);
  // After an unknown outcome the change may still take effect and then needs its snapshot.
  else if (result.outcome === "lost") await objects.delete(snapshot.snapshotName, call);
}
