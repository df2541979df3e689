import type { Millis } from "@jaypass/kernel";
import { UNANSWERED_COST_FACTOR } from "./constants.ts";
import type { PendingPrefill } from "./create_server_load.ts";

/**
 * Weighs the unread requests of an engine that one more read would make late. A request that would
 * miss its deadline counts several times, since it was read in vain.
 *
 * @param readers requests of the engine that are not read yet
 * @param partMs milliseconds of the read that goes before theirs
 * @returns their weight together
 *
 * @example
 * weighDelayedReaders([{ slackMs: 100, deadlineSlackMs: 9_000, weight: 5_000 }], 200); // 5_000
 */
export function computePrefillDelayCost(
  readers: readonly PendingPrefill[],
  partMs: Millis,
): number {
  let sum = 0;
  for (const { slackMs, deadlineSlackMs, weight } of readers) {
    if (deadlineSlackMs >= 0 && deadlineSlackMs < partMs) sum += weight * UNANSWERED_COST_FACTOR;
    else if (slackMs >= 0 && slackMs < partMs) sum += weight;
  }
  return sum;
}
