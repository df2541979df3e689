import { readdir, readFile } from "node:fs/promises";

/** Interval at which descriptors are counted. */
const COUNT_INTERVAL_MS = 50;

const KILOBYTES_PER_MEGABYTE = 1_024;

/** Most memory and descriptors that a process had. */
export interface ProcessPeak {
  /** Peak of the resident memory since the start of the process, in megabytes. */
  memoryMb: number;
  /** Most descriptors that were counted. */
  descriptors: number;
}

/** Watches a process of this machine. */
export interface ProcessWatch {
  /** Ends the watch; the values are not numbers if the process has ended. */
  end(): Promise<ProcessPeak>;
}

/**
 * Watches the memory and the descriptors of a process.
 *
 * @param pid id of the process
 * @returns the watch, which has begun
 *
 * @example
 * const watch = watchProcess(child.pid);
 * const { memoryMb } = await watch.end();
 */
export function watchProcess(pid: number): ProcessWatch {
  let descriptors = 0;
  const count = async () => {
    const open = await readdir(`/proc/${pid}/fd`).catch(() => []);
    descriptors = Math.max(descriptors, open.length);
  };
  const timer = setInterval(() => void count(), COUNT_INTERVAL_MS);
  return {
    async end() {
      clearInterval(timer);
      await count();
      const status = await readFile(`/proc/${pid}/status`, "utf8").catch(() => "");
      const peak = Number(/VmHWM:\s*(\d+) kB/.exec(status)?.[1] ?? NaN);
      return { memoryMb: peak / KILOBYTES_PER_MEGABYTE, descriptors };
    },
  };
}
