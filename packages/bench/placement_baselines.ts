import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PlacementLoad, PlacementPolicy } from "./simulate_placement.ts";

/** Chooses one engine by the requests that each of them has. */
type ChooseEngine = (outstanding: readonly number[]) => number;

/** Places each request on one engine, chosen by what is outstanding there. */
function createOutstandingPolicy(engines: number, choose: ChooseEngine): PlacementPolicy {
  const outstanding = Array.from({ length: engines }, () => 0);
  const engineOf = new Map<string, number>();
  return {
    place(job) {
      const first = choose(outstanding);
      outstanding[first]! += 1;
      engineOf.set(job.id, first);
      return Promise.resolve({ first, helpers: [] });
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
 * Creates the baseline that sends each request to the engine with the fewest requests.
 *
 * @param load the load, for the number of engines
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
 * Creates the baseline that draws two engines and takes the one with fewer requests.
 *
 * @param load the load, for the number of engines and the seed
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
