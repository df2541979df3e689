import { setMaxListeners } from "node:events";
import type { Clock, Deadline, Millis } from "./types.ts";

/** Options of {@linkcode createDeadline}. */
export interface DeadlineOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** A signal that aborts the work before the deadline, for example when the caller disconnects. */
  parent?: AbortSignal;
}

/**
 * Creates a deadline.
 *
 * A deadline is sent to other processes as the remaining milliseconds, so that clock skew between
 * hosts cannot extend it.
 *
 * @param timeoutMs milliseconds until the deadline
 * @param options clock and parent signal
 * @returns the deadline; call `clear` to release its timer
 *
 * @example
 * const deadline = createDeadline(900, { clock });
 * await call({ timeoutMs: deadline.remainingMs(), signal: deadline.signal });
 */
export function createDeadline(timeoutMs: Millis, options: DeadlineOptions): Deadline {
  const { clock, parent } = options;
  const endMs = clock.nowMs() + timeoutMs;
  const controller = new AbortController();
  // Every call of a request listens to its deadline, so Node's leak warning is disabled.
  setMaxListeners(0, controller.signal);
  const timer = setTimeout(() => controller.abort(new Error("Deadline passed")), timeoutMs);
  const onParentAbort = () => controller.abort(parent?.reason);
  if (parent?.aborted) onParentAbort();
  parent?.addEventListener("abort", onParentAbort, { once: true });
  return {
    remainingMs: () => Math.max(0, endMs - clock.nowMs()),
    isExpired: () => clock.nowMs() >= endMs,
    signal: controller.signal,
    clear: () => {
      clearTimeout(timer);
      parent?.removeEventListener("abort", onParentAbort);
    },
  };
}
