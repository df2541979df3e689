import type { RandomSource } from "@jaypass/kernel";
import type { Route } from "./types.ts";

/**
 * Chooses one of a route's services by weight.
 *
 * @param route the route
 * @param random source of random numbers
 * @returns name of the service; undefined when the route has no target with a weight
 *
 * @example
 * chooseTarget(route, Math.random);
 */
export function chooseTarget(route: Route, random: RandomSource): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = random() * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return undefined;
}
