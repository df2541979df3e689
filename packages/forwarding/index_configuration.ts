import { comparePriorities } from "./compare_priorities.ts";
import { ROUTE_KIND } from "./types.ts";
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
 * @returns the configuration with services by name and workspaces by key; services whose streaming
 * routes have different priorities are marked
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
    services: new Map(
      services.map((service) => [service.name, markPriorities(service, routes, workspaces ?? [])]),
    ),
    workspaceByKey: keys === undefined ? undefined : new Map(keys),
    priorityByWorkspace: new Map(
      workspaces?.flatMap(({ name, priority }) =>
        priority === undefined ? [] : [[name, priority] as const]
      ),
    ),
    limits,
  };
}

function markPriorities(
  service: Service,
  routes: readonly Route[],
  workspaces: readonly Workspace[],
): Service {
  // Only prompts wait at hubs, and only their routes tell which of them are more urgent.
  const leading = routes.filter(({ kind, targets }) =>
    kind === ROUTE_KIND.STREAMING && targets.some((target) => target.service === service.name)
  );
  if (new Set(leading.map(({ priority }) => priority)).size <= 1) return service;
  const all = leading.flatMap(({ priority: routePriority, isPublic }) =>
    isPublic || workspaces.length === 0
      ? [{ priority: routePriority, routePriority }]
      : workspaces.map(({ priority = routePriority }) => ({ priority, routePriority }))
  );
  const priorities = all.sort(comparePriorities)
    .filter((item, at) => at === 0 || comparePriorities(item, all[at - 1] ?? item) !== 0);
  return { ...service, isPrioritized: true, priorities };
}
