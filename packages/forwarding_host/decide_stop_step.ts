import type { Millis } from "@jaypass/kernel";
import {
  DIRECTORY_TTL_FACTOR,
  DIRECTORY_TTL_MS,
  FULL_STRENGTH_SHARE,
  LISTED_MS,
  MIN_READY_SHARE,
} from "./constants.ts";

/** What a stopping host does next. */
export const STOP_STEP = {
  /** Goes on as before. */
  STAY: "stay",
  /** Leaves the directory and the hubs; other hosts get its callers. */
  LEAVE: "leave",
  /** Ends the process. */
  EXIT: "exit",
} as const;

/** One of {@linkcode STOP_STEP}. */
export type StopStep = typeof STOP_STEP[keyof typeof STOP_STEP];

/** What a stopping host knows of itself and of the other hosts. */
export interface StoppingHost {
  /** Milliseconds until its turn to leave among hosts that are told to stop at the same moment. */
  turnInMs: Millis;
  /** Milliseconds since it has left the directory; undefined before. */
  leftAgoMs: Millis | undefined;
  /** Milliseconds until it exits whether or not requests are in progress. */
  remainingMs: Millis;
  /** Requests in progress. */
  requests: number;
  /** Other hosts that accept callers now. */
  readyHosts: number;
  /**
   * Most of them at a time within the last second. A hub that has just been selected does not know
   * all hosts yet.
   */
  recentHosts: number;
  /** Most other hosts that accepted callers at a time, from shortly before the stop on. */
  usualHosts: number;
}

/**
 * Decides whether a stopping host stays, leaves the directory or exits.
 *
 * While enough other hosts accept callers, it leaves in its turn. It stays until the last caller has a
 * newer answer of the directory if the others are complete; otherwise it exits as soon as it is idle
 * and regular callers know of it, so that it is back before further hosts stop. When many hosts stop
 * together, callers have nowhere else to go: a host that finds too few others stays in the directory
 * until earlier ones are back, or until only the time is left for which callers may use an answer of
 * the directory.
 *
 * @param host what the host knows
 * @returns the step
 *
 * @example
 * decideStopStep({ turnInMs: 0, leftAgoMs: undefined, remainingMs: 7_500, requests: 2, readyHosts: 17, recentHosts: 17, usualHosts: 17 }); // "leave"
 */
export function decideStopStep(host: StoppingHost): StopStep {
  const { turnInMs, leftAgoMs, remainingMs, requests, readyHosts, recentHosts, usualHosts } = host;
  if (remainingMs <= 0) return STOP_STEP.EXIT;
  if (leftAgoMs === undefined) {
    const canLeave = readyHosts >= MIN_READY_SHARE * usualHosts && turnInMs <= 0;
    return canLeave || remainingMs <= LISTED_MS ? STOP_STEP.LEAVE : STOP_STEP.STAY;
  }
  const areOthersComplete = recentHosts >= FULL_STRENGTH_SHARE * usualHosts;
  const stayMs = areOthersComplete ? DIRECTORY_TTL_MS * DIRECTORY_TTL_FACTOR : LISTED_MS;
  return requests === 0 && leftAgoMs >= stayMs ? STOP_STEP.EXIT : STOP_STEP.STAY;
}
