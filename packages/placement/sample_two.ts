import { createHash } from "node:crypto";

/**
 * Draws two of the candidates by a hash of a key, so that the same key draws the same two.
 *
 * The load it answers: hosts that place alone after a restart and see the same late reports. Each
 * of them would take the engine that looks best, and all would meet there; the better one of two
 * drawn engines differs from request to request.
 *
 * @param candidates what is drawn from
 * @param key differs from request to request
 * @param idOf id of a candidate
 * @returns two candidates, or all when there are no more
 *
 * @example
 * sampleTwo(loads, job.id, (load) => load.server.id);
 */
export function sampleTwo<T>(candidates: readonly T[], key: string, idOf: (one: T) => string): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      rank: createHash("sha1").update(`${key}/${idOf(candidate)}`).digest("hex"),
    }))
    .sort((a, b) => a.rank < b.rank ? -1 : 1)
    .slice(0, 2)
    .map(({ candidate }) => candidate);
}
