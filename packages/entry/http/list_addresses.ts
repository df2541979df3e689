import type { IncomingMessage } from "node:http";
import { chooseAddresses } from "@jaypass/membership";
import { ADDRESS_COUNT } from "../constants.ts";
import type { HttpContext } from "./http_context.ts";

/** An address that a caller may use. */
export interface CallerAddress {
  url: string;
  dataCentre: string;
}

/**
 * Lists the addresses that a caller should use, best first.
 *
 * @param req the caller's request; its key and address spread callers over the hosts
 * @param context the front's parts
 * @param callerDataCentre the data centre that the caller names as its nearest
 * @returns at most six addresses
 */
export function listAddresses(
  req: IncomingMessage,
  context: Pick<HttpContext, "configuration" | "membership">,
  callerDataCentre?: string,
): CallerAddress[] {
  const { configuration, membership } = context;
  const caller = `${req.headers.authorization ?? ""} ${req.socket.remoteAddress ?? ""}`;
  const chosen = chooseAddresses({
    hosts: membership.hosts(),
    dataCentres: configuration.document().dataCentres,
    callerDataCentre: callerDataCentre ?? membership.self().dataCentre,
    caller,
    count: ADDRESS_COUNT,
  });
  return chosen.map((host) => ({ url: host.callerUrl, dataCentre: host.dataCentre }));
}
