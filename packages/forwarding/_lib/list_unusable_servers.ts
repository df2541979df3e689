import type { CallerRequest, ForwardingContext, ForwardingServer } from "./request_context.ts";

/**
 * Lists the servers of a request's service that want no requests now, by their own statement.
 *
 * @param context services of the host
 * @param request the caller's request
 * @returns the servers in the order of their statements
 */
export function listUnusableServers(
  context: ForwardingContext,
  { service }: Pick<CallerRequest, "service">,
): ForwardingServer[] {
  return context.notices.listUnusable().flatMap(({ id, bornMs }) => {
    const server = context.findServer(id);
    return server?.service === service && server.bornMs === bornMs ? [server] : [];
  });
}
