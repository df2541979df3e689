/**
 * Writes log lines to standard output and ends, as a program does whose log reader may be stalled.
 * Arguments: number of lines, and milliseconds before the last lines are flushed.
 */
import { setTimeout as wait } from "node:timers/promises";
import { createBufferedOutput } from "../create_buffered_output.ts";

const LINE_CHARS = 100;

const [lineCount = 0, delayMs = 0] = process.argv.slice(2).map(Number);
const output = createBufferedOutput({ fd: 1, delayMs: 10, maxChars: 1_000_000 });
for (let at = 0; at < lineCount; at++) output.write(`${String(at).padStart(LINE_CHARS - 1)}\n`);
await wait(delayMs);
output.write("last\n");
process.stderr.write(`${Date.now()}\n`, () => {
  output.flushSync();
  process.exit(0);
});
