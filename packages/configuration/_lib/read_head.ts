import type { Metrics } from "@jaypass/kernel";
import type { TableClient } from "@jaypass/store_clients";
import { CONFIG_TABLE, HEAD_KEY, STORE_READ_TIMEOUT_MS } from "../constants.ts";
import type { ConfigHead } from "../types.ts";
import { headSchema } from "./stored_schemas.ts";

/**
 * Reads the head row; the result of a stale read may be outdated.
 *
 * @param table table client
 * @param options metrics and signal
 * @returns the head, or `undefined` when the row is absent
 * @throws {StoreError} when the read fails
 */
export async function readHead(
  table: TableClient,
  options: { metrics: Metrics; signal: AbortSignal },
): Promise<ConfigHead | undefined> {
  const { metrics, signal } = options;
  metrics.increment("configuration.poll_reads");
  const call = { timeoutMs: STORE_READ_TIMEOUT_MS, signal };
  const row = await table.read(CONFIG_TABLE, HEAD_KEY, call);
  if (row === undefined) return undefined;
  metrics.increment("configuration.poll_bytes", {}, Buffer.byteLength(JSON.stringify(row)));
  return headSchema.parse(row.value);
}
