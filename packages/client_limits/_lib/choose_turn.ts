/**
 * Chooses the address that has the next turn: the one whose turn starts first in virtual time, and of
 * these the one that has waited longest.
 *
 * Answers the load of many connections of one address, or of connections whose bytes take long to
 * parse: an address falls behind by the time that its turns took.
 *
 * @param waiting waiting addresses in the order of their arrival, each with the start of its turn
 * @returns the address and its turns; undefined if none waits
 *
 * @example
 * chooseTurn(new Map([["10.0.0.1", { startMs: 4 }], ["10.0.0.2", { startMs: 1 }]])); // "10.0.0.2"
 */
export function chooseTurn<T extends { startMs: number }>(
  waiting: ReadonlyMap<string, T>,
): [string, T] | undefined {
  let next: [string, T] | undefined;
  for (const entry of waiting) {
    if (next === undefined || entry[1].startMs < next[1].startMs) next = entry;
  }
  return next;
}
