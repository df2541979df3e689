import { LRUCache } from "lru-cache";
import type { Clock } from "@jaypass/kernel";
import { MAX_LOGGED_REQUESTS } from "./constants.ts";
import type { Decision } from "./types.ts";

/** Log of the decisions for recent requests. */
export interface DecisionLog {
  add(requestId: string, event: string, detail?: Decision["detail"]): void;
  find(requestId: string): Decision[] | undefined;
}

/**
 * Maximum number of decisions per request; few attempts per request never reach it without a fault.
 */
const MAX_DECISIONS_OF_REQUEST = 50;

/**
 * Creates the decision log that `jaypass request explain` reads.
 *
 * @param clock source of the wall-clock time of each decision
 * @returns an empty log for a bounded number of requests
 *
 * @example
 * decisions.add(requestId, "granted", { server: "engine-3" });
 */
export function createDecisionLog(clock: Clock): DecisionLog {
  const logs = new LRUCache<string, Decision[]>({ max: MAX_LOGGED_REQUESTS });
  return {
    add(requestId, event, detail = {}) {
      const log = logs.get(requestId) ?? [];
      if (log.length < MAX_DECISIONS_OF_REQUEST) log.push({ atMs: clock.wallMs(), event, detail });
      logs.set(requestId, log);
    },
    find: (requestId) => logs.get(requestId),
  };
}
