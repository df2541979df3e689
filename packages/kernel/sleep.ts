import { AbortedError } from "./errors.ts";
import type { Millis } from "./types.ts";

/**
 * Waits for a duration or until a signal aborts.
 *
 * @param durationMs milliseconds to wait
 * @param signal aborts the wait
 * @returns a promise that resolves after the duration
 * @throws {AbortedError} when the signal aborts first
 *
 * @example
 * await sleep(2_000, group.signal);
 */
export function sleep(durationMs: Millis, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) {
      reject(new AbortedError("Wait aborted", { cause: signal.reason }));
      return;
    }
    const onAbort = () => {
      clearTimeout(timer);
      reject(new AbortedError("Wait aborted", { cause: signal?.reason }));
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", onAbort);
      resolve();
    }, durationMs);
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}
