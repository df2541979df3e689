import { ROUTE_KIND } from "../types.ts";
import type { CallerRequest } from "./request_context.ts";

/** Reports whether the request may be executed by a second server. */
export function isRepeatable({ route }: Pick<CallerRequest, "route">): boolean {
  const { kind, isResumable } = route;
  return kind === ROUTE_KIND.IDEMPOTENT || (kind === ROUTE_KIND.STREAMING && isResumable);
}
