import { AbortedError, type Millis } from "@jaypass/kernel";

/** Waits for a duration; rejects with `AbortedError` when the signal aborts. */
export type Sleep = (durationMs: Millis, signal?: AbortSignal) => Promise<void>;

/** A wait that can be ended early. */
export interface Waker {
  /** Ends the current wait; without one, the next wait ends at once. */
  wake(): void;
  /**
   * Waits for a duration or until woken.
   *
   * @returns whether it was woken
   * @throws {AbortedError} when the signal aborts
   */
  wait(durationMs: Millis, signal: AbortSignal): Promise<boolean>;
}

/** Creates a wait that can be ended early. */
export function createWaker(sleep: Sleep): Waker {
  let isWoken = false;
  let current: AbortController | undefined;
  return {
    wake() {
      isWoken = true;
      current?.abort();
    },
    async wait(durationMs, signal) {
      if (!isWoken) {
        const controller = current = new AbortController();
        const abort = () => controller.abort();
        signal.addEventListener("abort", abort, { once: true });
        if (signal.aborted) abort();
        try {
          await sleep(durationMs, controller.signal);
        } catch (err) {
          if (!(err instanceof AbortedError)) throw err;
        } finally {
          signal.removeEventListener("abort", abort);
          current = undefined;
        }
      }
      if (signal.aborted) throw new AbortedError("Wait aborted", { cause: signal.reason });
      const woken = isWoken;
      isWoken = false;
      return woken;
    },
  };
}
