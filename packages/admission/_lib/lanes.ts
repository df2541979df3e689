import type { Millis } from "@jaypass/kernel";
import { LANE } from "../types.ts";
import type { AcquireRequest, Grant, Lane, Refusal } from "../types.ts";

/** How one call of `Acquire` ends. */
export type AcquireDecision =
  | { type: "granted"; grant: Grant }
  | { type: "refused"; reason: Refusal; message: string; retryAfterMs: Millis }
  | { type: "queued" };

/** A request that waits in a lane. */
export interface WaitingRequest {
  acquireId: string;
  req: AcquireRequest;
  owner: { host: string; incarnation: string; address: string };
  lane: Lane;
  prefillMs: Millis;
  arrivedMs: Millis;
  firstTokenDeadlineMs: Millis;
  deadlineMs: Millis;
  /** Last time at which its host called. */
  seenMs: Millis;
  /** Engines declared for a prompt that is larger than one engine, or for an overdue request. */
  claim: string[] | undefined;
  /** Answers the open call; undefined between two calls, when no grant could be delivered. */
  settle: ((decision: AcquireDecision) => void) | undefined;
}

/** Waiting requests of a pool, by lane and earliest deadline first. */
export interface Lanes {
  add(entry: WaitingRequest): void;
  remove(entry: WaitingRequest): void;
  find(acquireId: string): WaitingRequest | undefined;
  of(lane: Lane): readonly WaitingRequest[];
  all(): Iterable<WaitingRequest>;
  readonly size: number;
}

/** Creates empty lanes. */
export function createLanes(): Lanes {
  const queues: Record<Lane, WaitingRequest[]> = { short: [], medium: [], long: [] };
  const byId = new Map<string, WaitingRequest>();
  return {
    add(entry) {
      const queue = queues[entry.lane];
      let low = 0;
      let high = queue.length;
      while (low < high) {
        const middle = (low + high) >> 1;
        if (queue[middle]!.firstTokenDeadlineMs <= entry.firstTokenDeadlineMs) low = middle + 1;
        else high = middle;
      }
      queue.splice(low, 0, entry);
      byId.set(entry.acquireId, entry);
    },
    remove(entry) {
      if (!byId.delete(entry.acquireId)) return;
      const queue = queues[entry.lane];
      queue.splice(queue.indexOf(entry), 1);
    },
    find: (acquireId) => byId.get(acquireId),
    of: (lane) => queues[lane],
    all: () => byId.values(),
    get size() {
      return byId.size;
    },
  };
}

/** Lanes in the order in which engines serve them. */
export const LANES: readonly Lane[] = [LANE.SHORT, LANE.MEDIUM, LANE.LONG];
