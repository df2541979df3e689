import { createHash } from "node:crypto";

/**
 * Samples two of the candidates by a hash of a key, so that the same key yields the same two.
 *
 * Meant for hosts that place requests without a hub and see the same outdated load reports, for
 * example after a restart. If each of them chose the engine with the least load, all would send to
 * the same one; the better of two sampled engines differs from request to request.
 *
 * @param candidates candidates to sample from
 * @param key key of the sample, for example the id of a request
 * @param idOf returns the id of a candidate
 * @returns two candidates, or all if there are fewer
 *
 * @example
 * sampleTwo(loads, job.id, (load) => load.server.id);
 */
export function sampleTwo<T>(
  candidates: readonly T[],
  key: string,
  idOf: (candidate: T) => string,
): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      rank: createHash("sha1").update(`${key}/${idOf(candidate)}`).digest("hex"),
    }))
    .sort((a, b) => a.rank < b.rank ? -1 : 1)
    .slice(0, 2)
    .map(({ candidate }) => candidate);
}
