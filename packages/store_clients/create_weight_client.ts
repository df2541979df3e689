import { z } from "zod";
import { createStoreTransport } from "./_lib/create_store_transport.ts";
import type { PlatformClientOptions } from "./_lib/create_store_transport.ts";
import { parseResponse } from "./_lib/parse_response.ts";
import type { PlatformConnection, WeightClient } from "./types.ts";

const SERVICE = "weights";
const DESCRIPTION = z.object({ bytes: z.number().nonnegative() });
const RESERVATION = z.object({ waitMs: z.number().nonnegative() });

/**
 * Creates a client of the rate-limited weight store.
 *
 * @param options base URL, host id, clock, random numbers and metrics
 * @returns the client
 *
 * @example
 * const weights = createWeightClient({ baseUrl, client: "h1", clock, random, metrics });
 * const { waitMs } = await weights.reserve(40e9, { timeoutMs: 1_000 });
 */
export function createWeightClient(
  options: PlatformClientOptions,
): WeightClient & PlatformConnection {
  const transport = createStoreTransport(SERVICE, options);
  return {
    async describe(name, version, callOptions) {
      const path = `/weights/${encodeURIComponent(`${name}@${version}`)}`;
      const answer = await transport.read({ method: "GET", path }, callOptions);
      return parseResponse(SERVICE, answer, DESCRIPTION);
    },
    async reserve(bytes, callOptions) {
      // Sent once, because a retry after a lost response would reserve the bytes twice.
      const request = { method: "POST", path: "/weights/reserve", json: { bytes } } as const;
      return parseResponse(SERVICE, await transport.write(request, callOptions), RESERVATION);
    },
    close: () => transport.close(),
  };
}
