import { setMaxListeners } from "node:events";
import type { TaskGroup } from "./types.ts";

/** Options of {@linkcode createTaskGroup}. */
export interface TaskGroupOptions {
  /** Receives the error of a task that failed while the group was running. */
  onError: (name: string, err: unknown) => void;
}

/**
 * Creates a group of background tasks that are stopped together.
 *
 * @param options error handler
 * @returns the group; `stop` aborts its signal and awaits every task
 *
 * @example
 * const tasks = createTaskGroup({ onError: (name, err) => log.error({ name, err }, "Task failed") });
 * tasks.run("renew lease", async (signal) => { ... });
 * await tasks.stop();
 */
export function createTaskGroup(options: TaskGroupOptions): TaskGroup {
  const controller = new AbortController();
  // Any number of tasks may listen to the signal, so Node's leak warning is disabled.
  setMaxListeners(0, controller.signal);
  const running = new Set<Promise<void>>();
  const runOne = async (name: string, task: (signal: AbortSignal) => Promise<void>) => {
    try {
      await task(controller.signal);
    } catch (err) {
      if (!controller.signal.aborted) options.onError(name, err);
    }
  };
  return {
    signal: controller.signal,
    run(name, task) {
      if (controller.signal.aborted) return;
      const promise = runOne(name, task).finally(() => running.delete(promise));
      running.add(promise);
    },
    async stop() {
      controller.abort();
      while (running.size > 0) await Promise.all(running);
    },
  };
}
