/** Options that each try of an operation gets. */
export interface TryOptions {
  /** Aborted when the result of the try is not needed any more. */
  signal: AbortSignal;
  /** False for the first try, true for the second one. */
  isBackup: boolean;
  /** Starts the second try beside the first one; without effect in the second one. */
  startBackup: () => void;
}

/**
 * Runs an operation, and once more beside it when the first try is in doubt. The first result counts,
 * so that a try that still works is not given up before the other one does.
 *
 * @param run runs a try; it must be safe to run twice
 * @param signal aborts all tries
 * @returns the result of the try that succeeds first
 * @throws the error of the last try if none succeeds
 *
 * @example
 * const page = await runWithBackup(({ signal, startBackup }) => read({ signal, startBackup }));
 */
export function runWithBackup<T>(
  run: (options: TryOptions) => Promise<T>,
  signal?: AbortSignal,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const controller = new AbortController();
    // `AbortSignal.any` would leave an entry in a signal that outlives the operation.
    const onAbort = () => controller.abort(signal?.reason);
    if (signal?.aborted) onAbort();
    else signal?.addEventListener("abort", onAbort, { once: true });
    let runningCount = 0;
    let hasBackup = false;
    const finish = () => {
      signal?.removeEventListener("abort", onAbort);
      controller.abort();
    };
    const start = (isBackup: boolean) => {
      runningCount += 1;
      run({ signal: controller.signal, isBackup, startBackup }).then((result) => {
        resolve(result);
        finish();
      }, (err) => {
        runningCount -= 1;
        if (runningCount > 0) return;
        reject(err);
        finish();
      });
    };
    const startBackup = () => {
      if (hasBackup || controller.signal.aborted) return;
      hasBackup = true;
      start(true);
    };
    start(false);
  });
}
