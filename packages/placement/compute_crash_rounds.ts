import { CRASH_CHANCE, MAX_CRASH_ROUNDS, MIN_CRASH_ROUNDS } from "./constants.ts";

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
 * @returns the number of rounds in which sound content crashes each time with a probability of at most
 * {@linkcode CRASH_CHANCE}, between {@linkcode MIN_CRASH_ROUNDS} and {@linkcode MAX_CRASH_ROUNDS}
 *
 * @example
 * computeCrashRounds({ answerCount: 95, otherCrashCount: 5 }); // 3
 */
export function computeCrashRounds({ answerCount, otherCrashCount }: OtherRequests): number {
  if (otherCrashCount === 0) return MIN_CRASH_ROUNDS;
  const crashShare = otherCrashCount / (otherCrashCount + answerCount);
  const rounds = crashShare === 1
    ? MAX_CRASH_ROUNDS
    : Math.ceil(Math.log(CRASH_CHANCE) / Math.log(crashShare));
  return Math.min(MAX_CRASH_ROUNDS, Math.max(MIN_CRASH_ROUNDS, rounds));
}
