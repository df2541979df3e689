import { getHeapStatistics, setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Clock, Millis } from "@jaypass/kernel";
import { EXCESS_SHARE, MAX_FULL_COLLECTION_SHARE, MIN_FULL_COLLECTION_MS } from "../constants.ts";

/** Collects garbage: that of young objects only, or all of it. */
export type CollectGarbage = (isFull: boolean) => void;

/** Options of {@linkcode createMemoryReclaimer}. */
export interface MemoryReclaimerOptions {
  /** Bytes that the process may hold for its clients. */
  limitBytes: number;
  /** Monotonic time source. */
  clock: Pick<Clock, "nowMs">;
  /** Called when all garbage is collected; nothing by default. */
  onFull?: () => void;
  /** Collects garbage; by default the collector of V8. */
  collect?: CollectGarbage;
  /** Reads the bytes of the heap and of buffers, with garbage; by default those of this process. */
  readUsedBytes?: () => number;
}

/**
 * Creates the function that has dropped memory collected.
 *
 * V8 collects the buffers of received bytes when its heap has grown or when they take 64 MB, however
 * small the machine is, so that a host that refuses much would exceed its memory. A collection of young
 * objects takes about a millisecond. A full one follows if far more is used than is held; it may take a
 * third of the time, since the memory of the machine is a hard limit.
 *
 * @param options limit, clock, and the collector
 * @returns a function that takes the bytes held for clients and collects what was dropped
 *
 * @example
 * const reclaim = createMemoryReclaimer({ limitBytes, clock });
 */
export function createMemoryReclaimer(
  {
    limitBytes,
    clock,
    onFull = () => {},
    collect = createCollector(),
    readUsedBytes = readProcessBytes,
  }: MemoryReclaimerOptions,
): (heldBytes: number) => void {
  let ownBytes = readUsedBytes();
  let nextFullMs = -Infinity;

  const collectAll = (): Millis => {
    const startMs = clock.nowMs();
    collect(true);
    return clock.nowMs() - startMs;
  };

  return (heldBytes) => {
    collect(false);
    const excessBytes = readUsedBytes() - ownBytes - heldBytes;
    if (excessBytes <= limitBytes * EXCESS_SHARE || clock.nowMs() < nextFullMs) return;
    onFull();
    const tookMs = collectAll();
    nextFullMs = clock.nowMs() +
      Math.max(MIN_FULL_COLLECTION_MS, tookMs / MAX_FULL_COLLECTION_SHARE);
    // What is left belongs to the program itself, such as a larger configuration.
    ownBytes = Math.max(0, readUsedBytes() - heldBytes);
  };
}

function readProcessBytes(): number {
  const { used_heap_size, external_memory } = getHeapStatistics();
  return used_heap_size + external_memory;
}

/** Creates the collector at its first use, since that takes memory that a process in calm never needs. */
function createCollector(): CollectGarbage {
  let gc: ((options?: { type: "minor" }) => void) | undefined;
  return (isFull) => {
    if (gc === undefined) {
      // Has the same effect as the option of Node.js, without which the function is not exposed.
      setFlagsFromString("--expose-gc");
      gc = runInNewContext("gc") as typeof gc;
    }
    // Node.js 20 takes any value of the option for "minor".
    gc?.(isFull ? undefined : { type: "minor" });
  };
}
