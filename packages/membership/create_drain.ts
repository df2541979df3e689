import { ADDRESS_TTL_MS, LEAVE_PROPAGATION_MS } from "./constants.ts";
import { type Clock, type Logger, type Millis, sleep as sleepOnTimer } from "@jaypass/kernel";
import type { Membership } from "./types.ts";
import type { Sleep } from "./_lib/create_waker.ts";

/** Options of {@linkcode createDrain}. */
export interface DrainOptions {
  membership: Pick<Membership, "leave">;
  clock: Clock;
  log: Logger;
  /** Longest duration of the drain, after which the host stops whether or not requests are running. */
  maxDrainMs: Millis;
  /** Waits for a duration; the timers of the process by default. */
  sleep?: Sleep;
}

/** Keeps a leaving host in service until no caller uses it any more. */
export interface Drain {
  /** Whether the host is leaving, so that it must omit itself from address lists. */
  isDraining(): boolean;
  /**
   * Reports whether the host may take a new request: always before the drain, and during it if the
   * deadline is not beyond its end. The answer of a request with a later one could be cut off.
   *
   * @param remainingMs milliseconds until the deadline of the request
   */
  accepts(remainingMs: Millis): boolean;
  /**
   * Registers a running request, before or during the drain.
   *
   * @param remainingMs milliseconds until its deadline
   * @returns the function to call when it has ended
   */
  track(remainingMs: Millis): () => void;
  /** Number of running requests whose deadline has not passed. */
  running(): number;
  /**
   * Marks the host as leaving, then waits until the address lists given out have expired and every
   * running request has ended or passed its deadline, at most for the longest duration of a drain.
   * Further calls return the same promise.
   */
  drain(): Promise<void>;
}

/** Longest wait between two checks of the deadlines; a timer cannot wait for an infinite one. */
const MAX_WAIT_MS = 60_000;

/**
 * Creates the drain of this host.
 *
 * New requests are served during the drain, because their callers hold address lists that are still
 * valid, unless they could outlast it.
 *
 * @param options membership, clock, log and longest duration
 * @returns the drain
 *
 * @example
 * const end = drain.track(remainingMs);
 * process.once("SIGTERM", () => drain.drain().then(() => kernel.stop()));
 */
export function createDrain(options: DrainOptions): Drain {
  const { membership, clock, log, maxDrainMs, sleep = sleepOnTimer } = options;
  const requests = new Set<{ deadlineMs: Millis }>();
  let drained: Promise<void> | undefined;
  let endMs: Millis = Infinity;
  let onRequestEnd: (() => void) | undefined;

  const dropExpired = () => {
    const nowMs = clock.nowMs();
    for (const req of requests) if (req.deadlineMs <= nowMs) requests.delete(req);
  };

  /** Waits until a request ends, the next deadline passes or the drain ends. */
  const waitForEnd = async () => {
    const maxWaitEndMs = Math.min(endMs, clock.nowMs() + MAX_WAIT_MS);
    const nextMs = Math.min(maxWaitEndMs, ...[...requests].map(({ deadlineMs }) => deadlineMs));
    const controller = new AbortController();
    onRequestEnd = () => controller.abort();
    try {
      await sleep(Math.max(1, nextMs - clock.nowMs()), controller.signal);
    } catch { /* Aborted because a request has ended. */ }
  };

  const drain = async () => {
    endMs = clock.nowMs() + maxDrainMs;
    membership.leave();
    log.info(
      { running: requests.size },
      "Host is leaving; waiting for address lists to expire and requests to end",
    );
    await sleep(ADDRESS_TTL_MS + LEAVE_PROPAGATION_MS);
    dropExpired();
    while (requests.size > 0 && clock.nowMs() < endMs) {
      await waitForEnd();
      dropExpired();
    }
    if (requests.size === 0) log.info({}, "Host is drained");
    else log.warn({ running: requests.size }, "Drain has ended with requests in progress");
  };

  return {
    isDraining: () => drained !== undefined,
    accepts: (remainingMs) => clock.nowMs() + remainingMs <= endMs,
    track(remainingMs) {
      const req = { deadlineMs: clock.nowMs() + remainingMs };
      requests.add(req);
      return () => {
        requests.delete(req);
        onRequestEnd?.();
      };
    },
    running() {
      dropExpired();
      return requests.size;
    },
    drain: () => drained ??= drain(),
  };
}
