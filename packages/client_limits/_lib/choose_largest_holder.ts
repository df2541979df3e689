/** What a connection makes the host hold. */
export interface HeldMemory {
  /** Bytes held, at their real cost. */
  bytes: number;
  /** Part of them that belongs to a request which a server has, and is not given up. */
  pinnedBytes: number;
}

/**
 * Chooses the connection that is released first when a host holds too much: the one with the most
 * bytes that are not pinned.
 *
 * Answers the load of many bodies and heads that stop short: those who hold little are ordinary
 * callers.
 *
 * @param holders the connections
 * @param minBytes bytes that a connection must exceed to be chosen
 * @returns the connection; undefined if none exceeds the bound
 *
 * @example
 * chooseLargestHolder(holders, 16_384);
 */
export function chooseLargestHolder<T extends HeldMemory>(
  holders: Iterable<T>,
  minBytes: number,
): T | undefined {
  let largest: T | undefined;
  let largestBytes = minBytes;
  for (const holder of holders) {
    const bytes = holder.bytes - holder.pinnedBytes;
    if (bytes <= largestBytes) continue;
    largest = holder;
    largestBytes = bytes;
  }
  return largest;
}
