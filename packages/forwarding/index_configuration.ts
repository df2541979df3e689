import type { CallerLimits, Configuration, Route, Service, Workspace } from "./types.ts";

/** One version of the configuration as plain data. */
export interface ConfigurationDocument {
  /** Number that grows with each change. */
  version: number;
  /** Routes in any order. */
  routes: Route[];
  /** Services. */
  services: Service[];
  /** Workspaces; undefined where no keys are asked for. */
  workspaces: Workspace[] | undefined;
  /** Bounds on callers. */
  limits: CallerLimits;
}

/**
 * Builds the lookups of a configuration.
 *
 * @param document the configuration as plain data
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
