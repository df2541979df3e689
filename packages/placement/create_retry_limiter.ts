import type { Clock, Millis } from "@jaypass/kernel";
import { createRateWindow } from "./create_rate_window.ts";
import type { RateWindow } from "./create_rate_window.ts";

/** Retry limits, from the settings of the host. */
export interface RetryLimits {
  /** Retries allowed for each first attempt. */
  ratio: number;
  /** Additional retries allowed per window. */
  slack: number;
  /** Length of the window in milliseconds. */
  windowMs: Millis;
}

/** Limits retries to the budget of each service. */
export interface RetryLimiter {
  /** Counts the first attempt of a request to the service. */
  countFirstAttempt(service: string): void;
  /** Counts a retry that another limiter has granted. */
  countRetry(service: string): void;
  /**
   * Takes one retry from the budget; returns false if the budget is used up, or if more than the given
   * share of it would be used, by default the whole.
   */
  tryAcquire(service: string, budgetShare?: number): boolean;
}

/** Options of {@linkcode createRetryLimiter}. */
export interface RetryLimiterOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Limits over all hosts. */
  limits: RetryLimits;
  /** Current share of the slack that this limiter may use, between 0 and 1. */
  share: () => number;
}

/** Share of the budget that is never used, because windows of hosts and servers are not aligned. */
const RESERVED_SHARE = 0.2;

/**
 * Creates a limiter of retries.
 *
 * Meant for an outage in which every request fails and would be retried.
 *
 * @param options clock, limits and the share of this host
 * @returns a limiter without counted attempts
 *
 * @example
 * const limiter = createRetryLimiter({ clock, limits, share: () => 1 });
 * if (!limiter.tryTake("notes")) refuse();
 */
export function createRetryLimiter(options: RetryLimiterOptions): RetryLimiter {
  const { clock, limits, share } = options;
  const firstAttempts = new Map<string, RateWindow>();
  const retries = new Map<string, RateWindow>();
  const windowOf = (windows: Map<string, RateWindow>, service: string) => {
    const existing = windows.get(service);
    if (existing !== undefined) return existing;
    const window = createRateWindow({ clock, windowMs: limits.windowMs });
    windows.set(service, window);
    return window;
  };
  return {
    countFirstAttempt: (service) => windowOf(firstAttempts, service).add(),
    countRetry: (service) => windowOf(retries, service).add(),
    tryAcquire(service, budgetShare = 1) {
      const firstCount = windowOf(firstAttempts, service).count();
      const budget = (limits.slack * share() + limits.ratio * firstCount) * (1 - RESERVED_SHARE);
      const used = windowOf(retries, service);
      if (used.count() + 1 > budget * budgetShare) return false;
      used.add();
      return true;
    },
  };
}
