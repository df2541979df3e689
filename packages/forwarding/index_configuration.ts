import type { CallerLimits, Configuration, Route, Service, Workspace } from "./types.ts";

/** One version of the configuration as it is stored. */
export interface ConfigurationDocument {
  /** Version number, which increases with each change. */
  version: number;
  /** Routes in any order. */
  routes: Route[];
  services: Service[];
  /** Workspaces; undefined if callers need no keys. */
  workspaces: Workspace[] | undefined;
  /** Limits on requests of callers. */
  limits: CallerLimits;
}

/**
 * Indexes a configuration for lookups.
 *
 * @param document the configuration as it is stored
 * @returns the configuration with services by name and workspaces by key
 *
 * @example
 * const configuration = indexConfiguration(document);
 */
export function indexConfiguration(document: ConfigurationDocument): Configuration {
  const { version, routes, services, workspaces, limits } = document;
  const keys = workspaces?.flatMap(({ name, keys }) => keys.map((key) => [key, name] as const));
  return {
    version,
    routes,
    services: new Map(services.map((service) => [service.name, service])),
    workspaceByKey: keys === undefined ? undefined : new Map(keys),
    limits,
  };
}
