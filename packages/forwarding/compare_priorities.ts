import type { RequestPriority } from "./types.ts";

/**
 * Compares the priorities of two requests.
 *
 * @param a priority of a request
 * @param b priority of another one
 * @returns a negative number if `a` is more urgent, 0 if both are equal
 *
 * @example
 * priorities.sort(comparePriorities);
 */
export function comparePriorities(a: RequestPriority, b: RequestPriority): number {
  return a.priority - b.priority || a.routePriority - b.routePriority;
}
