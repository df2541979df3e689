import { readFile } from "node:fs/promises";

/** Length of a clock tick in `/proc/PID/stat`; Linux uses 100 ticks per second. */
const MS_PER_TICK = 10;

/** Reads the CPU time that a process has used, in milliseconds; 0 when the process has ended. */
export async function readCpuMs(pid: number): Promise<number> {
  try {
    const text = await readFile(`/proc/${pid}/stat`, "utf8");
    // The process name, in parentheses, may contain spaces. User and system time are fields 14 and 15.
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
  } catch {
    return 0;
  }
}
