import type { IncomingMessage, ServerResponse } from "node:http";
import { ADDRESS_TTL_MS } from "@jaypass/membership";
import type { HttpContext } from "./http_context.ts";
import { listAddresses } from "./list_addresses.ts";
import { sendJson } from "./send_json.ts";

/**
 * Handles `GET /v1/addresses?data_centre=NAME`.
 *
 * @param req the caller's request
 * @param res its response
 * @param context the front's parts and the query
 */
export function handleAddresses(
  req: IncomingMessage,
  res: ServerResponse,
  context: HttpContext & { query: URLSearchParams },
): void {
  const addresses = listAddresses(req, context, context.query.get("data_centre") ?? undefined);
  sendJson(res, { addresses, ttlMs: ADDRESS_TTL_MS }, {
    headers: { "cache-control": `max-age=${Math.floor(ADDRESS_TTL_MS / 1_000)}` },
  });
}
