import type { Clock, Millis } from "@jaypass/kernel";
import {
  FAILURE_MEMORY_MS,
  FAILURE_PRIOR_OUTCOMES,
  MAX_CONSECUTIVE_FAILURES,
  MIN_FAILURES,
  MOSTLY_FAILING_SHARE,
  SOUND_FAILURE_SHARE,
} from "./constants.ts";

/** Share of a server's recent requests that it has failed. */
export interface FailureShare {
  /** Records how a request that was sent at a time has ended. */
  record(hasFailed: boolean, sentMs: Millis): void;
  /** Share of failures among the outcomes of the last seconds, between 0 and 1. */
  share(): number;
  /** True if requests that were sent after a failure have been answered, and not all of late have failed. */
  isPartial(): boolean;
}

/**
 * Creates the share of a server's requests that fail, as known from their outcomes; 0 at first.
 *
 * Meant for servers that fail some of their requests while their health check is good. Older outcomes
 * count less, so that a server which fails no more comes back by degrees. A few outcomes without a
 * failure are assumed, so that the first failures do not look like an outage.
 *
 * @param clock monotonic time source
 * @returns the share
 *
 * @example
 * const failures = createFailureShare(clock);
 * failures.record(true, clock.nowMs() - 40);
 */
export function createFailureShare(clock: Clock): FailureShare {
  let failed = 0;
  let total = 0;
  let updatedMs = clock.nowMs();
  let firstFailureMs = Infinity;
  let hasAnswered = false;
  let consecutiveFailures = 0;

  const decay = () => {
    const nowMs = clock.nowMs();
    const kept = Math.exp((updatedMs - nowMs) / FAILURE_MEMORY_MS);
    failed *= kept;
    total *= kept;
    updatedMs = nowMs;
    if (failed >= MIN_FAILURES / 2) return;
    firstFailureMs = Infinity;
    hasAnswered = false;
  };

  return {
    record(hasFailed, sentMs) {
      decay();
      total += 1;
      consecutiveFailures = hasFailed ? consecutiveFailures + 1 : 0;
      if (hasFailed) {
        failed += 1;
        firstFailureMs = Math.min(firstFailureMs, clock.nowMs());
      } else if (sentMs >= firstFailureMs) hasAnswered = true;
    },
    share() {
      if (total === 0) return 0;
      decay();
      return failed < MIN_FAILURES ? 0 : failed / (total + FAILURE_PRIOR_OUTCOMES);
    },
    isPartial: () => hasAnswered && consecutiveFailures < MAX_CONSECUTIVE_FAILURES,
  };
}

/**
 * Computes the share of jobs that avoid a server because of its failures: none below a tenth, all of
 * them from a half on.
 *
 * @param failureShare share of its recent requests that the server has failed
 * @returns a share between 0 and 1
 *
 * @example
 * computeAvoidedShare(0.3); // 0.5
 */
export function computeAvoidedShare(failureShare: number): number {
  const range = MOSTLY_FAILING_SHARE - SOUND_FAILURE_SHARE;
  return Math.min(1, Math.max(0, (failureShare - SOUND_FAILURE_SHARE) / range));
}
