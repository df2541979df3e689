import type { Clock } from "@jaypass/kernel";
import { MIN_DECIDED_REQUESTS, SERVED_DECAY_MS } from "./constants.ts";
import { compareUrgency } from "./order_waiting_jobs.ts";
import type { PlacementJob } from "./types.ts";

/** Shares of the requests of each priority that are served. */
export interface ServedShares {
  /** Counts a job that was placed or refused. */
  count(job: PlacementJob, isPlaced: boolean): void;
  /** Reports whether jobs of a priority are served more often than some that are more urgent. */
  isServedMoreThanUrgent(job: PlacementJob): boolean;
}

/** Decaying numbers of requests of one service and priority. */
interface Counts {
  job: PlacementJob;
  decided: number;
  placed: number;
  atMs: number;
}

/** Maximum number of services and priorities that are counted. */
const MAX_COUNTS = 256;

/**
 * Creates the record of how often the requests of each priority are served.
 *
 * Short prompts wait for slots and long ones for engines, so that no common order keeps long prompts of
 * low priority from being served more often than more urgent short ones.
 *
 * @param clock monotonic time source
 * @returns an empty record
 *
 * @example
 * const served = createServedShares(clock);
 * served.count(job, false);
 */
export function createServedShares(clock: Clock): ServedShares {
  const counts = new Map<string, Counts>();
  const toKey = ({ service, priority = 0, routePriority = 0 }: PlacementJob) =>
    `${service}\n${priority}/${routePriority}`;
  const decay = (entry: Counts) => {
    const nowMs = clock.nowMs();
    const factor = Math.exp((entry.atMs - nowMs) / SERVED_DECAY_MS);
    entry.decided *= factor;
    entry.placed *= factor;
    entry.atMs = nowMs;
    return entry;
  };
  return {
    count(job, isPlaced) {
      const key = toKey(job);
      const known = counts.get(key);
      if (known === undefined && counts.size >= MAX_COUNTS) counts.clear();
      const entry = decay(known ?? { job, decided: 0, placed: 0, atMs: clock.nowMs() });
      counts.set(key, entry);
      entry.decided += 1;
      if (isPlaced) entry.placed += 1;
    },
    isServedMoreThanUrgent(job) {
      const own = counts.get(toKey(job));
      if (own === undefined) return false;
      decay(own);
      return [...counts.values()].some((other) =>
        other.job.service === job.service && compareUrgency(other.job, job) < 0 &&
        decay(other).decided >= MIN_DECIDED_REQUESTS &&
        own.placed * other.decided > other.placed * own.decided
      );
    },
  };
}
