import { LRUCache } from "lru-cache";
import type { Clock, Millis } from "@jaypass/kernel";
import { MAX_RETRY_WORKSPACES } from "./constants.ts";
import { createRateWindow } from "./create_rate_window.ts";
import type { RateWindow } from "./create_rate_window.ts";

/** Shares of workspaces in the retry budgets of services. */
export interface RetryShares {
  /**
   * Counts that a workspace asks for a retry, and reports whether it may have it: while the workspace
   * is above its share of the budget, only what others have not asked for is left to it.
   */
  ask(service: string, workspace: string, budget: { total: number; left: number }): boolean;
  /** Counts a retry that the workspace has got. */
  count(service: string, workspace: string): void;
}

/** Retries of a workspace in the last window. */
interface Entry {
  service: string;
  asked: RateWindow;
  got: RateWindow;
}

/** Buckets of a window; there are two windows for each workspace. */
const WINDOW_BUCKETS = 5;

/**
 * Creates the shares of workspaces in the retry budgets.
 *
 * Meant for a workspace whose requests fail and are retried in such numbers that none of the common
 * budget is left to others.
 *
 * @param options clock and length of the budget's window
 * @returns shares without counted retries
 *
 * @example
 * const shares = createRetryShares({ clock, windowMs: 10_000 });
 * if (shares.ask("model", "w1", { total: 8, left: 3 })) shares.count("model", "w1");
 */
export function createRetryShares(options: { clock: Clock; windowMs: Millis }): RetryShares {
  const entries = new LRUCache<string, Entry>({ max: MAX_RETRY_WORKSPACES });
  const createWindow = () => createRateWindow({ ...options, buckets: WINDOW_BUCKETS });

  const find = (service: string, workspace: string): Entry => {
    const key = `${service}\n${workspace}`;
    const known = entries.get(key);
    if (known !== undefined) return known;
    const entry = { service, asked: createWindow(), got: createWindow() };
    entries.set(key, entry);
    return entry;
  };

  return {
    ask(service, workspace, { total, left }) {
      const entry = find(service, workspace);
      entry.asked.add();
      const ofService = [...entries.values()].filter((other) => other.service === service);
      const all = ofService.map((other) => ({
        isOther: other !== entry,
        asked: other.asked.count(),
        got: other.got.count(),
      })).filter(({ asked }) => asked > 0);
      const share = total / all.length;
      if (entry.got.count() + 1 <= share) return true;
      // Others are expected to ask as often as in the last window.
      const kept = all.filter(({ isOther }) => isOther)
        .reduce((sum, { asked, got }) => sum + Math.min(asked, Math.max(0, share - got)), 0);
      return left - 1 >= kept;
    },
    count: (service, workspace) => find(service, workspace).got.add(),
  };
}
