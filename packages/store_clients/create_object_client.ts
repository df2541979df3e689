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
  const objectPath = (name: string) => `/objects/${encodeURIComponent(name)}`;
  return {
    async get(name, callOptions) {
      const res = await transport.sendWithRetries(
        { method: "GET", path: objectPath(name) },
        callOptions,
      );
      return res.status === 404 ? undefined : res.bytes;
    },
    async put(name, bytes, callOptions) {
      await transport.sendWithRetries(
        { method: "PUT", path: objectPath(name), bytes },
        callOptions,
      );
    },
    async delete(name, callOptions) {
      await transport.sendWithRetries({ method: "DELETE", path: objectPath(name) }, callOptions);
    },
    close: () => transport.close(),
  };
}
