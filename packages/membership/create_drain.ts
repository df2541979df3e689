import { ADDRESS_TTL_MS, LEAVE_PROPAGATION_MS } from "./constants.ts";
import { type Clock, type Logger, type Millis, sleep as sleepOnTimer } from "@jaypass/kernel";
import type { Membership } from "./types.ts";
import type { Sleep } from "./_lib/create_waker.ts";

/** Options of {@linkcode createDrain}. */
export interface DrainOptions {
  membership: Pick<Membership, "leave">;
  clock: Clock;
  log: Logger;
  /** Waits; the timer of the process by default. */
  sleep?: Sleep;
}

/** Keeps a host that stops in service until nobody needs it. */
export interface Drain {
  /** Whether the host is leaving, so that it names itself in no address list. */
  isDraining(): boolean;
  /**
   * Notes a running request, before and during the drain.
   *
   * @param remainingMs milliseconds until its deadline
   * @returns the function to call when it has ended
   */
  track(remainingMs: Millis): () => void;
  /** Running requests whose deadline has not passed. */
  running(): number;
  /**
   * Leaves, then waits until the addresses given out have expired and all running requests have
   * ended or passed their deadline. Further calls wait for the same end.
   */
  drain(): Promise<void>;
}

/** Longest wait between two looks at the deadlines; a timer cannot hold an infinite one. */
const MAX_WAIT_MS = 60_000;

/**
 * Creates the drain of this host.
 *
 * New requests are served during the drain, because their callers hold addresses that are valid.
 *
 * @param options membership, clock and log
 * @returns the drain
 *
 * @example
 * const end = drain.track(remainingMs);
 * process.once("SIGTERM", () => drain.drain().then(() => kernel.stop()));
 */
export function createDrain(options: DrainOptions): Drain {
  const { membership, clock, log, sleep = sleepOnTimer } = options;
  const requests = new Set<{ deadlineMs: Millis }>();
  let ending: Promise<void> | undefined;
  let onEnd: (() => void) | undefined;

  const dropExpired = () => {
    const nowMs = clock.nowMs();
    for (const req of requests) if (req.deadlineMs <= nowMs) requests.delete(req);
  };

  /** Waits until a request ends or the next deadline passes. */
  const waitForEnd = async () => {
    const latestMs = clock.nowMs() + MAX_WAIT_MS;
    const nextMs = Math.min(latestMs, ...[...requests].map(({ deadlineMs }) => deadlineMs));
    const controller = new AbortController();
    onEnd = () => controller.abort();
    try {
      await sleep(Math.max(1, nextMs - clock.nowMs()), controller.signal);
    } catch { /* a request has ended */ }
  };

  const drain = async () => {
    membership.leave();
    log.info({ running: requests.size }, "Host is leaving");
    await sleep(ADDRESS_TTL_MS + LEAVE_PROPAGATION_MS);
    dropExpired();
    while (requests.size > 0) {
      await waitForEnd();
      dropExpired();
    }
    log.info({}, "Host is drained");
  };

  return {
    isDraining: () => ending !== undefined,
    track(remainingMs) {
      const req = { deadlineMs: clock.nowMs() + remainingMs };
      requests.add(req);
      return () => {
        requests.delete(req);
        onEnd?.();
      };
    },
    running() {
      dropExpired();
      return requests.size;
    },
    drain: () => ending ??= drain(),
  };
}
