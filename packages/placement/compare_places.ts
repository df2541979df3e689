import type { ServerLoad } from "./create_server_load.ts";

/**
 * Orders servers in a data centre before others; meant for servers that are otherwise equally good,
 * because bytes between data centres are priced.
 *
 * @param dataCentre preferred data centre; undefined for no preference
 * @param a a server
 * @param b another server
 * @returns a negative number if only `a` is in the data centre, a positive one if only `b` is, else 0
 *
 * @example
 * loads.sort((a, b) => a.size() - b.size() || comparePlaces(job.dataCentre, a, b));
 */
export function comparePlaces(
  dataCentre: string | undefined,
  a: Pick<ServerLoad, "server">,
  b: Pick<ServerLoad, "server">,
): number {
  if (dataCentre === undefined) return 0;
  const isThere = ({ server }: Pick<ServerLoad, "server">) =>
    Number(server.dataCentre === dataCentre);
  return isThere(b) - isThere(a);
}
