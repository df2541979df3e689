import { LRUCache } from "lru-cache";
import type { Clock, Millis } from "@jaypass/kernel";
import { MAX_REFUSALS, REFUSAL_MEMORY_MS, RETRY_AFTER_MAX_SHARE } from "./constants.ts";
import type { PlacementJob } from "./types.ts";

/** A request whose caller has come back after a refusal. */
export interface CallerReturn {
  /** True if the caller did not wait for the time that it was told. */
  isEarly: boolean;
  /** Milliseconds between the arrivals of the first request and this one. */
  sinceFirstMs: Millis;
}

/** Refused requests, by fingerprint. */
export interface RefusalRegister {
  /** Records that the caller of a job was told to come back after a time. */
  record(job: PlacementJob, retryAfterMs: Millis): void;
  /** Returns how the caller of a job came back; undefined if it was not refused recently. */
  find(job: PlacementJob): CallerReturn | undefined;
  /** Forgets the refusal of a job that is placed. */
  forget(job: PlacementJob): void;
}

/**
 * Creates the register of refused requests.
 *
 * Meant for callers of which a quarter comes back at once and several times as often, and would crowd
 * out those that wait as they are told. A refusal that is lost, with the hub or because the register is
 * full, makes its caller count as a new one.
 *
 * @param clock monotonic time source
 * @returns an empty register
 *
 * @example
 * const register = createRefusalRegister(clock);
 * register.record(job, 500);
 * register.find(sameJob)?.isEarly; // true before 500 ms have passed
 */
export function createRefusalRegister(clock: Clock): RefusalRegister {
  const refusals = new LRUCache<string, { firstMs: Millis; mayReturnMs: Millis; atMs: Millis }>({
    max: MAX_REFUSALS,
  });
  const arrivalMs = (job: PlacementJob) => clock.nowMs() - job.elapsedMs;
  const findRefusal = ({ fingerprint }: PlacementJob) => {
    const refusal = refusals.get(fingerprint);
    return refusal !== undefined && clock.nowMs() - refusal.atMs <= REFUSAL_MEMORY_MS
      ? refusal
      : undefined;
  };
  return {
    record(job, retryAfterMs) {
      const atMs = clock.nowMs();
      const waitMs = Math.min(retryAfterMs, Math.max(0, job.wholeWithinMs) * RETRY_AFTER_MAX_SHARE);
      const firstMs = findRefusal(job)?.firstMs ?? arrivalMs(job);
      refusals.set(job.fingerprint, { firstMs, mayReturnMs: atMs + waitMs, atMs });
    },
    find(job) {
      const refusal = findRefusal(job);
      if (refusal === undefined) return undefined;
      return {
        isEarly: arrivalMs(job) < refusal.mayReturnMs,
        sinceFirstMs: Math.max(0, arrivalMs(job) - refusal.firstMs),
      };
    },
    forget: ({ fingerprint }) => void refusals.delete(fingerprint),
  };
}
