import type { Configuration, Route } from "./types.ts";

/**
 * Finds the route of a request: the longest prefix of the host name that begins the path.
 *
 * @param configuration the configuration in force
 * @param hostHeader value of the `Host` header, with or without port
 * @param target request target; its query does not take part
 * @returns the route, or undefined when none matches
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
