import type { Clock, Millis } from "@jaypass/kernel";
import { createRateWindow } from "./create_rate_window.ts";
import { createRetryShares } from "./create_retry_shares.ts";
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

/** Options of a retry. */
export interface RetryOptions {
  /** Workspace whose share of the budget counts; undefined for none. */
  workspace?: string;
  /** Part of the budget that may be used up by this retry, between 0 and 1; 1 by default. */
  budgetShare?: number;
}

/** Limits retries to the budget of each service. */
export interface RetryLimiter {
  /** Counts the first attempt of a request to the service. */
  countFirstAttempt(service: string): void;
  /** Counts a retry that another limiter has granted. */
  countRetry(service: string, workspace?: string): void;
  /**
   * Takes one retry from the budget; returns false if the budget is used up, if more than the given share
   * of it would be used, or if a workspace is stated that has had its share while others ask for theirs.
   */
  tryAcquire(service: string, options?: RetryOptions): boolean;
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
  const workspaces = createRetryShares({ clock, windowMs: limits.windowMs });
  const windowOf = (windows: Map<string, RateWindow>, service: string) => {
    const existing = windows.get(service);
    if (existing !== undefined) return existing;
    const window = createRateWindow({ clock, windowMs: limits.windowMs });
    windows.set(service, window);
    return window;
  };
  return {
    countFirstAttempt: (service) => windowOf(firstAttempts, service).add(),
    countRetry(service, workspace) {
      windowOf(retries, service).add();
      if (workspace !== undefined) workspaces.count(service, workspace);
    },
    tryAcquire(service, { workspace, budgetShare = 1 } = {}) {
      const firstCount = windowOf(firstAttempts, service).count();
      const budget = (limits.slack * share() + limits.ratio * firstCount) * (1 - RESERVED_SHARE);
      const used = windowOf(retries, service);
      const left = budget * budgetShare - used.count();
      const isInShare = workspace === undefined ||
        workspaces.ask(service, workspace, { total: budget, left });
      if (left < 1 || !isInShare) return false;
      used.add();
      if (workspace !== undefined) workspaces.count(service, workspace);
      return true;
    },
  };
}
