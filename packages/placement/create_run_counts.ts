import type { Millis } from "@jaypass/kernel";
import { HARMLESS_AFTER_MS } from "./constants.ts";

/** Classes of run lengths for each doubling. */
const CLASSES_PER_DOUBLING = 8;

/** Numbers of runs by their length. */
export interface RunCounts {
  /** Returns the counts with one more run. */
  add(ranMs: Millis): RunCounts;
  /** Counts the runs that lasted at least so long; those that may have been shorter are left out. */
  countFrom(ranMs: Millis): number;
}

/**
 * Creates counts of runs. Lengths are kept in classes, so that a count takes the same time and memory for
 * any number of runs.
 *
 * @param counts number of runs in each class; none by default
 * @returns the counts, which do not change
 *
 * @example
 * createRunCounts().add(2_000).countFrom(700); // 1
 */
export function createRunCounts(counts: readonly number[] = []): RunCounts {
  return {
    add(ranMs) {
      const at = Math.floor(computeClass(ranMs));
      const length = Math.max(counts.length, at + 1);
      return createRunCounts(
        Array.from({ length }, (_, index) => (counts[index] ?? 0) + (index === at ? 1 : 0)),
      );
    },
    countFrom: (ranMs) =>
      counts.slice(Math.ceil(computeClass(ranMs))).reduce((sum, count) => sum + count, 0),
  };
}

/** The class of a length is the whole part of the result; class 0 has all short runs. */
function computeClass(ranMs: Millis): number {
  return CLASSES_PER_DOUBLING * Math.log2(Math.max(HARMLESS_AFTER_MS, ranMs) / HARMLESS_AFTER_MS);
}
