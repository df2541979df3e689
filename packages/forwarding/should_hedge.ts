import type { Millis } from "@jaypass/kernel";

/** What is known of a request whose answer has not begun. */
export interface HedgeSituation {
  /** True if the request may run more than once. */
  isRepeatable: boolean;
  /** True if the route allows that the request is sent once more. */
  hasAttemptLeft: boolean;
  /** Runs of the request in progress. */
  runCount: number;
  /** True once a server has sent a part of the answer, or the caller has got one. */
  hasBegun: boolean;
  /** True if bytes of earlier answers wait for the caller to read them. */
  isCallerSlow: boolean;
  /** True if the host stops. */
  isStopping: boolean;
  /** Time since the request was sent to its server. */
  elapsedMs: Millis;
  /** Time to the first byte that most requests of its kind need; undefined while it is not known. */
  usualMs: Millis | undefined;
  /** Time until the deadline of the caller. */
  remainingMs: Millis;
}

/**
 * Decides whether a request that may be slower than usual gets a second run at another server.
 *
 * Meant for a server that is slow or busy by chance while others are not; a server that is silent for
 * longer is handled without a hedge. A request is not hedged if it may run only once, once its answer
 * has begun, for a caller that does not read its answers, or if a second run would be of no use because
 * too little time is left. Whether servers have room is decided by placement.
 *
 * @param situation the state of the request
 * @returns true if a second run may be requested from placement
 *
 * @example
 * if (shouldHedge(situation)) successors.start("slower_than_usual");
 */
export function shouldHedge(situation: HedgeSituation): boolean {
  const { elapsedMs, usualMs, remainingMs } = situation;
  return situation.isRepeatable && situation.hasAttemptLeft && situation.runCount === 1 &&
    !situation.hasBegun && !situation.isCallerSlow && !situation.isStopping &&
    usualMs !== undefined && elapsedMs >= usualMs && remainingMs > usualMs;
}
