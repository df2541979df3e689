import type { Clock, Millis } from "@jaypass/kernel";

/** The largest of the values that were seen within a time. */
export interface PeakWindow {
  /** Adds a value that is seen now. */
  add(value: number): void;
  /** The largest value of the window; 0 without one. */
  peak(): number;
}

/**
 * Creates a window that keeps the largest of recent values.
 *
 * @param options clock, and the milliseconds for which a value counts
 * @returns the window, which is empty
 *
 * @example
 * const window = createPeakWindow({ clock, lengthMs: 10_000 });
 * window.add(17);
 */
export function createPeakWindow(options: { clock: Clock; lengthMs: Millis }): PeakWindow {
  const { clock, lengthMs } = options;
  // A later value that is as large makes earlier ones needless, so the values fall.
  let values: { value: number; atMs: Millis }[] = [];
  return {
    add(value) {
      const nowMs = clock.nowMs();
      values = values.filter((entry) => entry.value > value && nowMs - entry.atMs <= lengthMs);
      values.push({ value, atMs: nowMs });
    },
    peak() {
      const nowMs = clock.nowMs();
      return values.find(({ atMs }) => nowMs - atMs <= lengthMs)?.value ?? 0;
    },
  };
}
