import type { Millis } from "@jaypass/kernel";
import { LANE } from "../types.ts";
import type { AcquireRequest, Grant, Lane, Refusal } from "../types.ts";

/** Result of one `Acquire` call. */
export type AcquireDecision =
  | { type: "granted"; grant: Grant }
  | { type: "refused"; reason: Refusal; message: string; retryAfterMs: Millis }
  | { type: "queued" };

/** A request in the queue of a lane. */
export interface WaitingRequest {
  acquireId: string;
  req: AcquireRequest;
  owner: { host: string; incarnation: string; address: string };
  lane: Lane;
  prefillMs: Millis;
  arrivedMs: Millis;
  firstTokenDeadlineMs: Millis;
  deadlineMs: Millis;
  /** Monotonic time of the last call for it. */
  seenMs: Millis;
  /** Engines claimed by a request that is larger than one engine, or overdue. */
  claim: string[] | undefined;
  /** Answers the pending call; undefined between two calls, when the request cannot be granted. */
  settle: ((decision: AcquireDecision) => void) | undefined;
}

/** Waiting requests of a pool, queued by lane. */
export interface Lanes {
  add(entry: WaitingRequest): void;
  remove(entry: WaitingRequest): void;
  find(acquireId: string): WaitingRequest | undefined;
  /** Requests of a lane, the earliest first-token deadline first. */
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

/** Lanes in the order in which engines serve them, highest priority first. */
export const LANES: readonly Lane[] = [LANE.SHORT, LANE.MEDIUM, LANE.LONG];
