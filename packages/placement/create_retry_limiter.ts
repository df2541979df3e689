import type { Clock, Millis } from "@jaypass/kernel";
import { createRateWindow } from "./create_rate_window.ts";
import type { RateWindow } from "./create_rate_window.ts";

/** Limits of retries, from the settings of the host. */
export interface RetryLimits {
  /** Retries allowed for each request. */
  ratio: number;
  /** Retries allowed besides, in a window. */
  slack: number;
  /** Length of the window in milliseconds. */
  windowMs: Millis;
}

/** Grants retries from the budget of each service. */
export interface RetryLimiter {
  /** Counts a first send of a request to the service. */
  countFirstAttempt(service: string): void;
  /** Takes one retry from the budget; false when the budget is used up. */
  tryAcquire(service: string): boolean;
}

/** Options of {@linkcode createRetryLimiter}. */
export interface RetryLimiterOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Limits over all hosts. */
  limits: RetryLimits;
  /** Part of the budget that this limiter may use now, between 0 and 1. */
  share: () => number;
}

/** Part of the budget that is never used, since windows of hosts and servers are not aligned. */
const RESERVED_SHARE = 0.2;

/**
 * Creates the limiter of retries.
 *
 * The load it answers: an outage in which every request fails once and would be sent again.
 *
 * @param options clock, limits and the share of this host
 * @returns the limiter
 *
 * @example
 * const limiter = createRetryLimiter({ clock, limits, share: () => 1 });
 * if (!limiter.tryTake("notes")) refuse();
 */
export function createRetryLimiter(options: RetryLimiterOptions): RetryLimiter {
  const { clock, limits, share } = options;
  const firsts = new Map<string, RateWindow>();
  const retries = new Map<string, RateWindow>();
  const windowOf = (windows: Map<string, RateWindow>, service: string) => {
    const known = windows.get(service);
    if (known !== undefined) return known;
    const window = createRateWindow({ clock, windowMs: limits.windowMs });
    windows.set(service, window);
    return window;
  };
  return {
    countFirstAttempt: (service) => windowOf(firsts, service).add(),
    tryAcquire(service) {
      const ownFirsts = windowOf(firsts, service).count();
      const budget = (limits.slack * share() + limits.ratio * ownFirsts) * (1 - RESERVED_SHARE);
      const used = windowOf(retries, service);
      if (used.count() + 1 > budget) return false;
      used.add();
      return true;
    },
  };
}
