import {
  RETRY_BUDGET_RATIO,
  RETRY_BUDGET_RESERVE,
  RETRY_BUDGET_SYSTEM_RESERVE,
} from "./constants.ts";
import { LRUCache } from "lru-cache";

/** Options of {@linkcode createRetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the balance, as a fraction. */
  ratio?: number;
  /** Maximum balance of a workspace. */
  reserve?: number;
  /** Maximum balance of all workspaces of the host together. */
  systemReserve?: number;
}

/** Retry budgets of each workspace and of a host as a whole. */
export interface RetryBudget {
  /** Adds the fraction of a retry that a new request allows. */
  deposit(workspace: string): void;
  /** Takes one retry; returns false if the budget of the workspace or of the host is used up. */
  tryWithdraw(workspace: string): boolean;
}

/**
 * Maximum number of workspaces with a stored balance; an evicted one starts with a full balance.
 */
const MAX_WORKSPACES = 10_000;

/**
 * Creates retry budgets, so that retries cannot multiply the load during an outage.
 *
 * The budget of each host grows with its own requests, so the same ratio bounds the retries of all
 * hosts together without communication between them.
 *
 * @param options ratio and maximum balances
 * @returns the budgets with full balances
 *
 * @example
 * const budget = createRetryBudget();
 * budget.deposit("school-12");
 * if (!budget.tryWithdraw("school-12")) throw err;
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
