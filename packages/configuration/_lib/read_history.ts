import type { TableClient } from "@jaypass/store_clients";
import type { HistoryResponse } from "../operator_api.ts";
import type { ManagedConfiguration } from "../types.ts";
import { toPublicChange } from "./to_public_change.ts";
import { readChanges } from "./read_changes.ts";

/** What reading the history needs. */
export interface ReadHistoryOptions {
  configuration: ManagedConfiguration;
  table: TableClient;
  signal: AbortSignal;
  /** Most changes to return. */
  limit: number;
}

/**
 * Reads a page of the history, newest first; from memory while the store does not answer.
 *
 * @param before revision below which the page starts
 * @param options configuration, store and page size
 */
export async function readHistory(
  before: number,
  options: ReadHistoryOptions,
): Promise<HistoryResponse> {
  const { configuration, limit } = options;
  const { revision, oldestRevision } = configuration.snapshot();
  const last = Math.min(before - 1, revision);
  const first = Math.max(oldestRevision, last - limit + 1);
  let changes = configuration.changesAfter(first - 1)?.filter((change) => change.revision <= last);
  changes ??= await readChanges(first, last, options);
  return {
    changes: changes.map(toPublicChange).reverse(),
    ...(first > oldestRevision && { nextBefore: first }),
  };
}
