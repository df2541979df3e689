import type { IncomingMessage, ServerResponse } from "node:http";
import { REFUSAL } from "@jaypass/admission";
import { RAN } from "@jaypass/idempotency";
import { ADDRESS_TTL_MS } from "@jaypass/membership";
import type { HttpContext } from "./http_context.ts";
import { listAddresses } from "./list_addresses.ts";
import { sendJson } from "./send_json.ts";

/**
 * Sends a new request to a host elsewhere while the own data centre is out.
 *
 * Callers with an old address list still arrive here; 307 keeps their method and body.
 *
 * @param req the caller's request
 * @param res its response
 * @param context the front's parts
 * @returns false when the data centre is in and the request should be handled here
 */
export function redirectIfDataCentreOut(
  req: IncomingMessage,
  res: ServerResponse,
  context: HttpContext,
): boolean {
  const { dataCentres } = context.configuration.document();
  const own = context.membership.self().dataCentre;
  if (dataCentres[own]?.state !== "out") return false;
  const addresses = listAddresses(req, context)
    .filter((address) => dataCentres[address.dataCentre]?.state !== "out");
  const message = `Data centre "${own}" is out of service`;
  const error = { message, reason: REFUSAL.DATA_CENTRE_OUT, ran: RAN.NOT_RUN };
  context.metrics.increment("refusal", { reason: REFUSAL.DATA_CENTRE_OUT });
  const elsewhere = addresses[0];
  sendJson(res, { error, addresses, ttlMs: ADDRESS_TTL_MS }, {
    status: elsewhere ? 307 : 503,
    headers: elsewhere ? { location: `${elsewhere.url}${req.url}` } : {},
  });
  return true;
}
