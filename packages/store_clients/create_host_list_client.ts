import { z } from "zod";
import { createStoreTransport } from "./_lib/create_store_transport.ts";
import type { PlatformClientOptions } from "./_lib/create_store_transport.ts";
import { parseResponse } from "./_lib/parse_response.ts";
import type { HostListClient, PlatformConnection } from "./types.ts";

const SERVICE = "hosts";
const HOSTS = z.object({
  hosts: z.array(z.object({
    id: z.string(),
    dataCentre: z.string(),
    peerAddress: z.string(),
    callerUrl: z.string(),
    state: z.enum(["live", "leaving"]),
  })),
});

/**
 * Creates a client of the platform's host list.
 *
 * @param options base URL, host id, clock, random numbers and metrics
 * @returns the client; the list lags behind the hosts
 *
 * @example
 * const hosts = createHostListClient({ baseUrl, client: "h1", clock, random, metrics });
 * const seeds = await hosts.list({ timeoutMs: 1_000 });
 */
export function createHostListClient(
  options: PlatformClientOptions,
): HostListClient & PlatformConnection {
  const transport = createStoreTransport(SERVICE, options);
  const hostPath = (id: string) => `/hosts/${encodeURIComponent(id)}`;
  return {
    async list(callOptions) {
      const res = await transport.sendWithRetries(
        { method: "GET", path: "/hosts" },
        callOptions,
      );
      return parseResponse(SERVICE, res, HOSTS).hosts;
    },
    async register(host, callOptions) {
      await transport.sendWithRetries(
        { method: "PUT", path: hostPath(host.id), json: host },
        callOptions,
      );
    },
    async remove(id, callOptions) {
      await transport.sendWithRetries({ method: "DELETE", path: hostPath(id) }, callOptions);
    },
    close: () => transport.close(),
  };
}
