import { createStoreTransport } from "./_lib/create_store_transport.ts";
import type { PlatformClientOptions } from "./_lib/create_store_transport.ts";
import type { ObjectClient, PlatformConnection } from "./types.ts";

/**
 * Creates a client of the object store.
 *
 * @param options base URL, host id, clock, random numbers and metrics
 * @returns the client; puts and deletes are idempotent, so they are retried like reads
 *
 * @example
 * const objects = createObjectClient({ baseUrl, client: "h1", clock, random, metrics });
 * await objects.put("results/42", bytes, { timeoutMs: 1_000 });
 */
export function createObjectClient(
  options: PlatformClientOptions,
): ObjectClient & PlatformConnection {
  const transport = createStoreTransport("objects", options);
  const pathOf = (name: string) => `/objects/${encodeURIComponent(name)}`;
  return {
    async get(name, callOptions) {
      const answer = await transport.read({ method: "GET", path: pathOf(name) }, callOptions);
      return answer.status === 404 ? undefined : answer.bytes;
    },
    async put(name, bytes, callOptions) {
      await transport.read({ method: "PUT", path: pathOf(name), bytes }, callOptions);
    },
    async delete(name, callOptions) {
      await transport.read({ method: "DELETE", path: pathOf(name) }, callOptions);
    },
    close: () => transport.close(),
  };
}
