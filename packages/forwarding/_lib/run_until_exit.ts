/**
 * Waits for the work on a request, unless the host exits first.
 *
 * The work may go on after the exit signal; its result is then ignored.
 *
 * @param work the work
 * @param options exit: aborted when the host exits; findError: returns the error that ends the wait
 * at the exit, or undefined to go on
 * @throws the error of the work, or the one that `findError` returns
 *
 * @example
 * await runUntilExit(work, { exit: stop.exit, findError: () => new Error("Host exits") });
 */
export function runUntilExit(
  work: Promise<void>,
  options: { exit: AbortSignal; findError: () => Error | undefined },
): Promise<void> {
  const { exit, findError } = options;
  return new Promise((resolve, reject) => {
    const onExit = () => {
      const err = findError();
      if (err !== undefined) reject(err);
    };
    exit.addEventListener("abort", onExit, { once: true });
    work.then(resolve, reject).finally(() => exit.removeEventListener("abort", onExit));
  });
}
