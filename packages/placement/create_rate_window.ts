import type { Clock, Millis } from "@jaypass/kernel";

/** Counts events within a sliding window. */
export interface RateWindow {
  /** Counts events that happen now. */
  add(count?: number): void;
  /** Returns the number of events in the last `windowMs`. */
  count(): number;
}

/** Options of {@linkcode createRateWindow}. */
export interface RateWindowOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Length of the window in milliseconds. */
  windowMs: Millis;
  /** Number of buckets; the count may include events up to one bucket older than the window. */
  buckets?: number;
}

const DEFAULT_BUCKETS = 20;

/**
 * Creates a counter over a sliding window that uses constant memory.
 *
 * @param options clock, length and resolution
 * @returns the counter; it never counts fewer events than the window contains
 *
 * @example
 * const window = createRateWindow({ clock, windowMs: 10_000 });
 * window.add();
 * window.count(); // 1
 */
export function createRateWindow(options: RateWindowOptions): RateWindow {
  const { clock, windowMs, buckets = DEFAULT_BUCKETS } = options;
  const bucketMs = windowMs / buckets;
  // One additional bucket, because the oldest one is only partly inside the window.
  const counts = new Array<number>(buckets + 1).fill(0);
  let newestBucket = Math.floor(clock.nowMs() / bucketMs);

  const advance = () => {
    const currentBucket = Math.floor(clock.nowMs() / bucketMs);
    const steps = Math.min(currentBucket - newestBucket, counts.length);
    for (let step = 1; step <= steps; step++) counts[(newestBucket + step) % counts.length] = 0;
    newestBucket = Math.max(newestBucket, currentBucket);
    if (steps === counts.length) counts.fill(0);
  };

  return {
    add(count = 1) {
      advance();
      const index = newestBucket % counts.length;
      counts[index] = (counts[index] ?? 0) + count;
    },
    count() {
      advance();
      return counts.reduce((sum, value) => sum + value, 0);
    },
  };
}
