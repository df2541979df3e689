import { z } from "zod";
import { createStoreTransport } from "./_lib/create_store_transport.ts";
import type { PlatformClientOptions } from "./_lib/create_store_transport.ts";
import { parseResponse } from "./_lib/parse_response.ts";
import { StoreError } from "./errors.ts";
import type {
  CallOptions,
  CommitResult,
  PlatformConnection,
  Row,
  TableClient,
  Transaction,
} from "./types.ts";

const SERVICE = "tables";
const VERSION = z.int().nonnegative();
const ROWS = z.object({
  rows: z.array(z.object({ key: z.string(), value: z.unknown(), version: VERSION })),
});
const COMMITTED = z.object({ versions: z.record(z.string(), VERSION) });
const CONFLICT = z.object({ table: z.string(), key: z.string(), version: VERSION });

/**
 * Creates a client of the transactional table service.
 *
 * @param options base URL, host id, clock, random numbers and metrics
 * @returns the client; reads are retried within their deadline, writes are sent once
 *
 * @example
 * const table = createTableClient({ baseUrl, client: "h1", clock, random: Math.random, metrics });
 * const row = await table.read("leases", "pool-a", { timeoutMs: 500 });
 */
export function createTableClient(
  options: PlatformClientOptions,
): TableClient & PlatformConnection {
  const transport = createStoreTransport(SERVICE, options);
  const readRows = async <T>(path: string, json: unknown, callOptions: CallOptions) => {
    const answer = await transport.read({ method: "POST", path, json }, callOptions);
    return parseResponse(SERVICE, answer, ROWS).rows as Row<T>[];
  };

  const commit = async (
    transaction: Transaction,
    callOptions: CallOptions,
  ): Promise<CommitResult> => {
    try {
      const request = { method: "POST", path: "/tables/commit", json: transaction } as const;
      const answer = await transport.write(request, callOptions);
      return answer.status === 409
        ? { outcome: "conflict", ...parseResponse(SERVICE, answer, CONFLICT) }
        : { outcome: "done", ...parseResponse(SERVICE, answer, COMMITTED) };
    } catch (cause) {
      const isNotDone = cause instanceof StoreError && !cause.mayTakeEffect;
      return { outcome: isNotDone ? "not_done" : "unknown", cause };
    }
  };

  return {
    async read<T>(table: string, key: string, callOptions: CallOptions) {
      const rows = await readRows<T>("/tables/read", { table, keys: [key] }, callOptions);
      return rows[0];
    },
    readMany: (table, keys, callOptions) =>
      keys.length === 0
        ? Promise.resolve([])
        : readRows("/tables/read", { table, keys }, callOptions),
    list: (table, { timeoutMs, signal, ...filter }) =>
      readRows("/tables/list", { table, ...filter }, { timeoutMs, signal }),
    async commit(transaction, callOptions) {
      const result = await commit(transaction, callOptions);
      options.metrics.increment("platform.commit", { outcome: result.outcome });
      return result;
    },
    close: () => transport.close(),
  };
}
