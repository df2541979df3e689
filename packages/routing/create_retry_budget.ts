import {
  RETRY_BUDGET_RATIO,
  RETRY_BUDGET_RESERVE,
  RETRY_BUDGET_SYSTEM_RESERVE,
} from "./constants.ts";
import { LRUCache } from "lru-cache";

/** Options of {@linkcode createRetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget. */
  ratio?: number;
  /** Most retries that a workspace can have in reserve. */
  reserve?: number;
  /** Most retries that all workspaces of the host together can have in reserve. */
  systemReserve?: number;
}

/** Budgets of retries per workspace and for all workspaces of a host. */
export interface RetryBudget {
  /** Counts a new request, which earns a part of a retry. */
  deposit(workspace: string): void;
  /** Takes one retry; false when the workspace's or the system's budget is used up. */
  tryWithdraw(workspace: string): boolean;
}

/** Workspaces whose balance is remembered; a forgotten one starts with its full reserve. */
const MAX_WORKSPACES = 10_000;

/**
 * Creates retry budgets, so that retries cannot multiply the load of an outage.
 *
 * Every host earns its budget from its own requests, so the sum over all hosts is bounded by the
 * same ratio without any exchange between them.
 *
 * @param options ratio and reserves
 * @returns the budgets, all full
 *
 * @example
 * const budget = createRetryBudget();
 * budget.earn("school-12");
 * if (!budget.spend("school-12")) throw err;
 */
export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
  const ratio = options.ratio ?? RETRY_BUDGET_RATIO;
  const reserve = options.reserve ?? RETRY_BUDGET_RESERVE;
  const systemReserve = options.systemReserve ?? RETRY_BUDGET_SYSTEM_RESERVE;
  const balances = new LRUCache<string, number>({ max: MAX_WORKSPACES });
  let systemBalance = systemReserve;
  return {
    deposit(workspace) {
      const balance = balances.get(workspace) ?? reserve;
      balances.set(workspace, Math.min(reserve, balance + ratio));
      systemBalance = Math.min(systemReserve, systemBalance + ratio);
    },
    tryWithdraw(workspace) {
      const balance = balances.get(workspace) ?? reserve;
      if (balance < 1 || systemBalance < 1) return false;
      balances.set(workspace, balance - 1);
      systemBalance -= 1;
      return true;
    },
  };
}
