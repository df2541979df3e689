import type { IncomingMessage, ServerResponse } from "node:http";
import { REFUSAL } from "@jaypass/admission";
import { RAN } from "@jaypass/idempotency";
import { ADDRESS_TTL_MS } from "@jaypass/membership";
import type { HttpContext } from "./http_context.ts";
import { listAddresses } from "./list_addresses.ts";
import { sendRefusal } from "./send_refusal.ts";

/**
 * Redirects a new request to a host of another data centre while the data centre of this host is
 * out of service.
 *
 * Callers with an old address list still use this host. Status 307 makes them repeat the request
 * with the same method and body. The response has status 503 if no other host is in service.
 *
 * @param req the caller's request
 * @param res its response
 * @param context shared services of the HTTP handlers
 * @returns false if the data centre is in service, so that this host should handle the request
 */
export async function redirectIfDataCentreOut(
  req: IncomingMessage,
  res: ServerResponse,
  context: HttpContext,
): Promise<boolean> {
  const { dataCentres } = context.configuration.document();
  const ownDataCentre = context.membership.self().dataCentre;
  if (dataCentres[ownDataCentre]?.state !== "out") return false;
  const addresses = listAddresses(req, context)
    .filter((address) => dataCentres[address.dataCentre]?.state !== "out");
  const message = `Data centre "${ownDataCentre}" is out of service`;
  const error = { message, reason: REFUSAL.DATA_CENTRE_OUT, ran: RAN.NOT_RUN };
  context.metrics.increment("refusal", { reason: REFUSAL.DATA_CENTRE_OUT });
  const target = addresses[0];
  await sendRefusal(res, { error, addresses, ttlMs: ADDRESS_TTL_MS }, {
    status: target ? 307 : 503,
    headers: target ? { location: `${target.url}${req.url}` } : {},
    limits: context.settings.limits,
  });
  return true;
}
