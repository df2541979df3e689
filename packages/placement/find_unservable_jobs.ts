import type { Millis } from "@jaypass/kernel";
import { UNSERVABLE_RATE_FACTOR } from "./constants.ts";

/** Times of a waiting prompt. */
export interface WaitingTimes {
  /** Work of the request in engine milliseconds. */
  engineMs: Millis;
  /** Milliseconds from a free slot to the first byte. */
  expectedMs: Millis;
  /** Milliseconds until the caller gives up. */
  remainingMs: Millis;
}

/** A prompt and the work that is done before it. */
export interface ReviewedPrompt {
  /** Engine milliseconds of the prompts that get a slot before it. */
  aheadMs: Millis;
  /** True if it cannot get its first byte in time. */
  isUnservable: boolean;
}

/**
 * Finds the waiting prompts that cannot get their first byte in time because of the work before them.
 *
 * Meant for an overload, in which a prompt that is refused only when its time is up has waited in vain
 * and its caller has no time left for another host. A prompt counts as unservable only if it would be
 * with twice the rate, as the work that prompts turn out to be varies.
 *
 * @param ordered prompts of a service, in the order in which they get slots
 * @param describe returns the times of a prompt
 * @param ratePerMs engine milliseconds of work that the engines end in a millisecond; undefined if not
 * known, so that no prompt is unservable because of others
 * @returns the result for each prompt; those that are unservable do not count as work before others
 *
 * @example
 * const reviewed = findUnservableJobs(entries, describe, 12);
 */
export function findUnservableJobs<T>(
  ordered: readonly T[],
  describe: (item: T) => WaitingTimes,
  ratePerMs: number | undefined,
): Map<T, ReviewedPrompt> {
  let aheadMs = 0;
  return new Map(ordered.map((item) => {
    const { engineMs, expectedMs, remainingMs } = describe(item);
    // Nothing before it is no wait, also at a rate of 0.
    const slotMs = ratePerMs === undefined || aheadMs === 0
      ? 0
      : aheadMs / (UNSERVABLE_RATE_FACTOR * ratePerMs);
    const reviewed = { aheadMs, isUnservable: slotMs + expectedMs >= remainingMs };
    if (!reviewed.isUnservable) aheadMs += engineMs;
    return [item, reviewed];
  }));
}
