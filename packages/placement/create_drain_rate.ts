import type { Clock, Millis } from "@jaypass/kernel";
import { DRAIN_MIN_ENDED, DRAIN_MIN_MS, DRAIN_WINDOW_MS } from "./constants.ts";
import { createRateWindow } from "./create_rate_window.ts";
import type { RateWindow } from "./create_rate_window.ts";

/** Rates at which the engines of services end work while prompts wait. */
export interface DrainRate {
  /** States which services have waiting prompts now. */
  setWaiting(services: ReadonlySet<string>): void;
  /** Counts the work of a request that has ended. */
  ended(service: string, engineMs: Millis): void;
  /** Returns engine milliseconds of ended work per millisecond; undefined if not known. */
  ratePerMs(service: string): number | undefined;
}

/**
 * Creates the record of the work that engines end.
 *
 * The work that ends while engines have room shows the demand and not what they can do. So it counts only
 * from the time on since which prompts wait without a break.
 *
 * @param clock monotonic time source
 * @returns a record without rates
 *
 * @example
 * const drain = createDrainRate(clock);
 * drain.setWaiting(new Set(["model"]));
 * drain.ended("model", 210);
 * drain.ratePerMs("model"); // undefined before a second has passed
 */
export function createDrainRate(clock: Clock): DrainRate {
  const busy = new Map<string, { sinceMs: Millis; work: RateWindow; count: RateWindow }>();
  const createWindow = () => createRateWindow({ clock, windowMs: DRAIN_WINDOW_MS });
  return {
    setWaiting(services) {
      for (const service of busy.keys()) if (!services.has(service)) busy.delete(service);
      for (const service of services) {
        if (busy.has(service)) continue;
        const windows = { work: createWindow(), count: createWindow() };
        busy.set(service, { sinceMs: clock.nowMs(), ...windows });
      }
    },
    ended(service, engineMs) {
      busy.get(service)?.work.add(engineMs);
      busy.get(service)?.count.add();
    },
    ratePerMs(service) {
      const entry = busy.get(service);
      if (entry === undefined) return undefined;
      const sinceMs = clock.nowMs() - entry.sinceMs;
      if (sinceMs < DRAIN_MIN_MS || entry.count.count() < DRAIN_MIN_ENDED) return undefined;
      return entry.work.count() / Math.min(sinceMs, DRAIN_WINDOW_MS);
    },
  };
}
