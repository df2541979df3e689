import type { Clock, Millis } from "@jaypass/kernel";

/** Counts events of the recent past. */
export interface RateWindow {
  /** Adds events at the present moment. */
  add(count?: number): void;
  /** Returns the events of the last `windowMs`. */
  count(): number;
}

/** Options of {@linkcode createRateWindow}. */
export interface RateWindowOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Length of the window in milliseconds. */
  windowMs: Millis;
  /** Buckets of the window; the count errs by one bucket towards more. */
  buckets?: number;
}

/** Buckets of a window unless stated. */
const DEFAULT_BUCKETS = 20;

/**
 * Creates a counter over a sliding window, in constant memory.
 *
 * @param options clock, length and resolution
 * @returns the counter; it never counts less than the window holds
 *
 * @example
 * const window = createRateWindow({ clock, windowMs: 10_000 });
 * window.add();
 * window.count(); // 1
 */
export function createRateWindow(options: RateWindowOptions): RateWindow {
  const { clock, windowMs, buckets = DEFAULT_BUCKETS } = options;
  const bucketMs = windowMs / buckets;
  // One bucket more than the window has, since the oldest one is only partly inside.
  const counts = new Array<number>(buckets + 1).fill(0);
  let newest = Math.floor(clock.nowMs() / bucketMs);

  const advance = () => {
    const present = Math.floor(clock.nowMs() / bucketMs);
    const steps = Math.min(present - newest, counts.length);
    for (let step = 1; step <= steps; step++) counts[(newest + step) % counts.length] = 0;
    newest = Math.max(newest, present);
    if (steps === counts.length) counts.fill(0);
  };

  return {
    add(count = 1) {
      advance();
      const index = newest % counts.length;
      counts[index] = (counts[index] ?? 0) + count;
    },
    count() {
      advance();
      return counts.reduce((sum, value) => sum + value, 0);
    },
  };
}
