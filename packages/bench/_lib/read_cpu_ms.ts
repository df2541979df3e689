import { readFile } from "node:fs/promises";

/** Processor time of a clock tick in the process table, which Linux fixes at 100 per second. */
const MS_PER_TICK = 10;

/** Reads the processor time that a process has used, in milliseconds; 0 when it has ended. */
export async function readCpuMs(pid: number): Promise<number> {
  try {
    const text = await readFile(`/proc/${pid}/stat`, "utf8");
    // The name, in parentheses, may contain spaces; user and system time are fields 14 and 15.
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
  } catch {
    return 0;
  }
}
