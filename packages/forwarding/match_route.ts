import type { Configuration, Route } from "./types.ts";

/**
 * Finds the route of a request: the one with the longest matching path prefix for the host name.
 *
 * @param configuration the configuration in force
 * @param hostHeader value of the `Host` header, with or without a port
 * @param target request target; the query string is ignored
 * @returns the route; undefined if none matches
 *
 * @example
 * matchRoute(configuration, "notes.example:8080", "/alarm/2f?x=1");
 */
export function matchRoute(
  configuration: Configuration,
  hostHeader: string | undefined,
  target: string,
): Route | undefined {
  const host = (hostHeader ?? "").toLowerCase().replace(/:\d+$/, "");
  const path = target.split("?", 1)[0] ?? "";
  let best: Route | undefined;
  for (const route of configuration.routes) {
    if (route.host !== host || !path.startsWith(route.prefix)) continue;
    if (best === undefined || route.prefix.length > best.prefix.length) best = route;
  }
  return best;
}
