import type { RandomSource } from "@jaypass/kernel";
import type { Route } from "./types.ts";

/**
 * Chooses one of a route's services at random, in proportion to the weights.
 *
 * @param route the route
 * @param random source of random numbers
 * @returns name of the service; undefined if no target has a positive weight
 *
 * @example
 * chooseTarget(route, Math.random);
 */
export function chooseTarget(route: Route, random: RandomSource): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remainingWeight = random() * total;
  for (const target of route.targets) {
    remainingWeight -= target.weight;
    if (remainingWeight < 0) return target.service;
  }
  return undefined;
}
