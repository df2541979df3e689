import { LRUCache } from "lru-cache";
import type { Clock } from "@jaypass/kernel";
import { MAX_LOGGED_REQUESTS } from "./constants.ts";
import type { Decision } from "./types.ts";

/** Decisions taken for recent requests. */
export interface DecisionLog {
  add(requestId: string, event: string, detail?: Decision["detail"]): void;
  find(requestId: string): Decision[] | undefined;
}

/** Decisions kept of one request; a request has few attempts, so more would be a fault. */
const MAX_DECISIONS_OF_REQUEST = 50;

/**
 * Creates the log behind `jaypass request explain`.
 *
 * @param clock wall time of each decision
 * @returns an empty log, bounded in requests
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
