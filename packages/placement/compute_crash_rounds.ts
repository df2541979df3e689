import { CRASH_CHANCE, MAX_CRASH_ROUNDS } from "./constants.ts";

/** How requests without a suspect part fared since its first crash. */
export interface OtherRequests {
  /** Requests that were answered. */
  answerCount: number;
  /** Requests whose server ended. */
  otherCrashCount: number;
}

/**
 * Computes the consecutive crashes after which content counts as their cause.
 *
 * @param others requests without the content
 * @param minRounds least number of crashes
 * @returns the number of rounds in which sound content crashes each time with a probability of at most
 * {@linkcode CRASH_CHANCE}, between `minRounds` and {@linkcode MAX_CRASH_ROUNDS}
 *
 * @example
 * computeCrashRounds({ answerCount: 95, otherCrashCount: 4 }, 2); // 3
 */
export function computeCrashRounds(
  { answerCount, otherCrashCount }: OtherRequests,
  minRounds: number,
): number {
  // One crash more than was seen, so that a few answers do not count as a proof.
  const crashShare = (otherCrashCount + 1) / (otherCrashCount + answerCount + 1);
  const rounds = crashShare === 1
    ? MAX_CRASH_ROUNDS
    : Math.ceil(Math.log(CRASH_CHANCE) / Math.log(crashShare));
  return Math.min(MAX_CRASH_ROUNDS, Math.max(minRounds, rounds));
}
