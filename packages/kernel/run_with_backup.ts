/** Options that each try of an operation gets. */
export interface TryOptions {
  /** Aborted when the result of the try is not needed any more. */
  signal: AbortSignal;
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
    const superfluous = new AbortController();
    const signals = signal === undefined ? [superfluous.signal] : [superfluous.signal, signal];
    const options = { signal: AbortSignal.any(signals) };
    let runningCount = 0;
    let hasBackup = false;
    const start = () => {
      runningCount += 1;
      run({ ...options, startBackup }).then((result) => {
        resolve(result);
        superfluous.abort();
      }, (err) => {
        runningCount -= 1;
        if (runningCount === 0) reject(err);
      });
    };
    const startBackup = () => {
      if (hasBackup || options.signal.aborted) return;
      hasBackup = true;
      start();
    };
    start();
  });
}
