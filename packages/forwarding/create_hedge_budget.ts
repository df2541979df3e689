import type { Millis } from "@jaypass/kernel";
import { MAX_HEDGED_SERVICES, MAX_SAVED_HEDGES } from "./constants.ts";

/** Limits on hedges, for each service. */
export interface HedgeShares {
  /** Hedges for each request. */
  maxShare: number;
  /** Engine time of hedges for each millisecond of engine time of all runs. */
  maxWorkShare: number;
}

/** Limits the hedges of a host. */
export interface HedgeBudget {
  /** Counts a request. */
  countRequest(service: string): void;
  /** Counts the engine time of a run that has ended. */
  countWork(service: string, workMs: Millis): void;
  /** Takes one hedge, unless no whole one or no engine time is left. */
  tryTake(service: string): HedgeGrant | undefined;
}

/** Part of the budget that one hedge has taken. */
export interface HedgeGrant {
  /** Gives the hedge back, which was not made. */
  giveBack(): void;
  /** Charges the engine time of the hedge, which the next hedge waits for if too little was left. */
  settle(workMs: Millis): void;
}

/** What a service may spend; both parts grow with its requests. */
interface Account {
  /** Hedges. */
  hedges: number;
  /** Engine time in milliseconds; below 0 after hedges that took long. */
  workMs: Millis;
  /** Mean engine time of a run. */
  meanWorkMs: Millis | undefined;
}

/** Weight of a run in the mean engine time: a larger one follows single runs of a heavy tail. */
const MEAN_WEIGHT = 0.01;

/**
 * Creates the limit on the hedges of one host.
 *
 * Requests earn hedges, so that the shares hold at every host and therefore over all hosts together,
 * without a message between them. Little can be saved, since a host that could make many hedges at once
 * would make them when all servers become slow together.
 *
 * @param shares current limits
 * @returns the budget, which is empty at first
 *
 * @example
 * const budget = createHedgeBudget(() => ({ maxShare: 0.02, maxWorkShare: 0.02 }));
 * budget.countRequest("model");
 * const grant = budget.tryTake("model");
 */
export function createHedgeBudget(shares: () => HedgeShares): HedgeBudget {
  const accounts = new Map<string, Account>();

  const accountOf = (service: string): Account => {
    const known = accounts.get(service);
    if (known !== undefined) return known;
    const [oldest] = accounts.keys();
    if (accounts.size >= MAX_HEDGED_SERVICES && oldest !== undefined) accounts.delete(oldest);
    const account = { hedges: 0, workMs: 0, meanWorkMs: undefined };
    accounts.set(service, account);
    return account;
  };

  return {
    countRequest(service) {
      const account = accountOf(service);
      account.hedges = Math.min(MAX_SAVED_HEDGES, account.hedges + shares().maxShare);
    },
    countWork(service, workMs) {
      const account = accountOf(service);
      const mean = account.meanWorkMs ?? workMs;
      account.meanWorkMs = mean + MEAN_WEIGHT * (workMs - mean);
      account.workMs = Math.min(
        MAX_SAVED_HEDGES * account.meanWorkMs,
        account.workMs + shares().maxWorkShare * workMs,
      );
    },
    tryTake(service) {
      const account = accountOf(service);
      if (account.hedges < 1 || account.workMs <= 0) return undefined;
      account.hedges -= 1;
      let isOpen = true;
      const close = (run: () => void) => {
        if (isOpen) run();
        isOpen = false;
      };
      return {
        giveBack: () => close(() => void (account.hedges += 1)),
        settle: (workMs) => close(() => void (account.workMs -= workMs)),
      };
    },
  };
}
