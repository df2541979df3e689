import { BASE_HEAP_BYTES, HEAD_HEAP_SHARE, MIN_HEAD_BYTES } from "../constants.ts";

/**
 * Computes how many bytes the heads of requests may take.
 *
 * Answers the load of many legal heads at a time on a machine with much memory: they are in the heap of
 * V8, which has one size whatever the machine has, and whose end ends the process.
 *
 * @param heapBytes largest size of the heap
 * @returns bytes, at their cost
 *
 * @example
 * computeHeadLimit(getHeapStatistics().heap_size_limit);
 */
export function computeHeadLimit(heapBytes: number): number {
  return Math.max(MIN_HEAD_BYTES, Math.floor((heapBytes - BASE_HEAP_BYTES) * HEAD_HEAP_SHARE));
}
