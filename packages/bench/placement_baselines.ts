import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PlacementLoad, PlacementPolicy } from "./simulate_placement.ts";

/** Chooses an engine by the number of outstanding requests of each engine. */
type ChooseEngine = (outstanding: readonly number[]) => number;

/** Creates a policy that places each request on one engine, chosen by the outstanding requests. */
function createOutstandingPolicy(engines: number, choose: ChooseEngine): PlacementPolicy {
  const outstanding = Array.from({ length: engines }, () => 0);
  const engineOf = new Map<string, number>();
  return {
    place(job) {
      const primary = choose(outstanding);
      outstanding[primary]! += 1;
      engineOf.set(job.id, primary);
      return Promise.resolve({ primary, helpers: [] });
    },
    started: () => {},
    finished(jobId) {
      const engine = engineOf.get(jobId);
      if (engine !== undefined && engineOf.delete(jobId)) outstanding[engine]! -= 1;
    },
    dispatchWaiting: () => {},
  };
}

/**
 * Creates the baseline policy that chooses the engine with the fewest outstanding requests.
 *
 * @param load load that defines the number of engines
 * @returns the policy
 *
 * @example
 * playPlacement(load, () => createLeastOutstandingPolicy(load));
 */
export function createLeastOutstandingPolicy(load: PlacementLoad): PlacementPolicy {
  return createOutstandingPolicy(
    load.engines,
    (outstanding) => outstanding.indexOf(Math.min(...outstanding)),
  );
}

/**
 * Creates the baseline policy that picks two random engines and chooses the one with fewer outstanding
 * requests.
 *
 * @param load load that defines the number of engines and the seed
 * @returns the policy
 *
 * @example
 * playPlacement(load, () => createRandomTwoPolicy(load));
 */
export function createRandomTwoPolicy(load: PlacementLoad): PlacementPolicy {
  const generator = xoroshiro128plus(load.seed);
  const draw = () => uniformInt(generator, 0, load.engines - 1);
  return createOutstandingPolicy(load.engines, (outstanding) => {
    const [a, b] = [draw(), draw()];
    return outstanding[a]! <= outstanding[b]! ? a : b;
  });
}
