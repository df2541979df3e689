import type { Configuration, RequestPriority } from "../types.ts";
import type { CallerRequest } from "./request_context.ts";

/** Finds the priority of a request; that of its workspace takes precedence over that of its route. */
export function findPriority(
  configuration: Pick<Configuration, "priorityByWorkspace"> | undefined,
  { route, workspace }: Pick<CallerRequest, "route" | "workspace">,
): RequestPriority {
  const own = workspace === undefined
    ? undefined
    : configuration?.priorityByWorkspace.get(workspace);
  return { priority: own ?? route.priority, routePriority: route.priority };
}
