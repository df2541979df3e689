import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import { OBJECT_STORE_TIMEOUT_MS } from "../constants.ts";
import type { ConfigDocument } from "../types.ts";
import { AdministrationError } from "./administration_error.ts";
import { applyChanges } from "./apply_changes.ts";
import { createEmptyDocument } from "./create_empty_document.ts";
import { readChanges } from "./read_changes.ts";
import { decodeSnapshot } from "./snapshot_codec.ts";

/**
 * Rebuilds the document of an earlier revision from a snapshot and the changes after it.
 *
 * @param revision the revision
 * @param options table service, object store and signal
 * @throws {AdministrationError} `not_found` when the revision is no longer stored
 */
export async function readDocumentAt(
  revision: number,
  options: { table: TableClient; objects: ObjectClient; signal: AbortSignal },
): Promise<ConfigDocument> {
  const { objects, signal } = options;
  const refuse = () =>
    new AdministrationError("not_found", `Content of revision ${revision} is no longer stored`);
  const [target] = await readChanges(revision, revision, options);
  if (target === undefined) throw refuse();
  let document = createEmptyDocument();
  if (target.snapshotRevision > 0) {
    const call = { timeoutMs: OBJECT_STORE_TIMEOUT_MS, signal };
    const bytes = await objects.get(target.snapshotName, call);
    if (bytes === undefined) throw refuse();
    document = { ...document, ...(await decodeSnapshot(bytes)).document };
  }
  const changes = await readChanges(target.snapshotRevision + 1, revision, options);
  if (changes.length !== revision - target.snapshotRevision) throw refuse();
  for (const change of changes) document = applyChanges(document, change.changes);
  return document;
}
