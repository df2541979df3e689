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

/** Options of {@linkcode storeInitialDocument}. */
export interface StoreInitialDocumentOptions {
  table: TableClient;
  objects: ObjectClient;
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  signal: AbortSignal;
}

/** Longest random delay, so that few of many hosts that start together write a snapshot. */
const MAX_START_DELAY_MS = 500;

/** Timeout for finding out the outcome; the next poll shows which host stored its document. */
const SETTLE_TIMEOUT_MS = 5_000;

/**
 * Stores a document as revision 1 when the store has none.
 *
 * The document is stored as a snapshot in the object store, as it may be too large for a row.
 *
 * @param replica this host's copy of the document, at revision 0
 * @param document a valid document
 * @param options store clients, clock, randomness, logger, metrics and signal
 * @throws {StoreError} when a read or the storing of the snapshot fails
 */
export async function storeInitialDocument(
  replica: DocumentReplica,
  document: ConfigDocument,
  options: StoreInitialDocumentOptions,
): Promise<void> {
  const { table, objects, clock, random, log, metrics, signal } = options;
  await sleep(MAX_START_DELAY_MS * random(), signal);
  if (replica.current().revision > 0) return;
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
  log.info({ outcome: result.outcome }, "Tried to store the initial configuration document");
  if (result.outcome === "done") replica.load(snapshot);
  // After an unknown outcome the change may still be stored, and then its snapshot is needed.
  else if (result.outcome === "lost") await objects.delete(snapshot.snapshotName, call);
}
