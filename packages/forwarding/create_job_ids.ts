import type { RandomSource } from "@jaypass/kernel";

/** Number of texts that tell starts of hosts apart. */
const TAG_COUNT = 36 ** 6;

/**
 * Creates the function that names the placements of a host.
 *
 * Hubs, engines and other hosts know a placement by its name alone, and callers may repeat the id of
 * a request at the same host and at others. So the name also has a part of its host's start and a
 * number.
 *
 * @param random source of random numbers
 * @returns the function, from the id of a request to a name that no other placement has
 *
 * @example
 * const createJobId = createJobIds(Math.random);
 * createJobId("39a545fda0b21942"); // "39a545fda0b21942.k3x0qd.0"
 */
export function createJobIds(random: RandomSource): (requestId: string) => string {
  const tag = Math.floor(random() * TAG_COUNT).toString(36);
  let count = 0;
  return (requestId) => `${requestId}.${tag}.${(count++).toString(36)}`;
}
