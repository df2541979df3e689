import type { Millis } from "@jaypass/kernel";
import { UNANSWERED_COST_FACTOR } from "./constants.ts";
import type { PendingPrefill } from "./create_server_load.ts";

/**
 * Computes the cost of running another prefill before the pending ones of an engine: the weight of
 * the requests that it would make late. A request that would miss its deadline counts several
 * times, because its prefill is wasted.
 *
 * @param pending pending prefills of the engine
 * @param partMs milliseconds of the prefill that runs before them
 * @returns total weight, in prompt tokens
 *
 * @example
 * computePrefillDelayCost([{ slackMs: 100, deadlineSlackMs: 9_000, weight: 5_000 }], 200); // 5_000
 */
export function computePrefillDelayCost(
  pending: readonly PendingPrefill[],
  partMs: Millis,
): number {
  let sum = 0;
  for (const { slackMs, deadlineSlackMs, weight } of pending) {
    if (deadlineSlackMs >= 0 && deadlineSlackMs < partMs) sum += weight * UNANSWERED_COST_FACTOR;
    else if (slackMs >= 0 && slackMs < partMs) sum += weight;
  }
  return sum;
}
