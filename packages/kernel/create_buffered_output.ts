import { write, writeSync } from "node:fs";
import type { Millis } from "./types.ts";

/** An output for log lines that never blocks the writer. */
export interface BufferedOutput {
  /** Adds a line; it is dropped and counted when the buffer is full. */
  write(line: string): void;
  /** Writes all buffered lines synchronously, before the process ends. */
  flushSync(): void;
}

/** Options of {@linkcode createBufferedOutput}. */
export interface BufferedOutputOptions {
  /** File descriptor to write to. */
  fd: number;
  /** Milliseconds for which lines are buffered before they are written together. */
  delayMs: Millis;
  /** Maximum number of buffered characters. */
  maxChars: number;
}

/**
 * Creates an output that buffers lines and writes them in the background.
 *
 * @param options file descriptor and limits
 * @returns the output
 *
 * @example
 * const output = createBufferedOutput({ fd: 1, delayMs: 200, maxChars: 262_144 });
 */
export function createBufferedOutput(options: BufferedOutputOptions): BufferedOutput {
  const { fd, delayMs, maxChars } = options;
  let pending = "";
  let dropped = 0;
  let isBusy = false;

  const take = () => {
    const note = dropped === 0
      ? ""
      : `{"level":40,"msg":"Log lines dropped","dropped":${dropped}}\n`;
    const text = pending + note;
    pending = "";
    dropped = 0;
    return text;
  };
  const flush = () => {
    const text = take();
    if (text === "") {
      isBusy = false;
      return;
    }
    write(fd, text, (err) => {
      // A failed write counts as a dropped line, because a closed output cannot report its failure.
      if (err !== null) dropped += 1;
      setTimeout(flush, delayMs).unref();
    });
  };
  return {
    write(line) {
      if (pending.length + line.length > maxChars) {
        dropped += 1;
        return;
      }
      pending += line;
      if (isBusy) return;
      isBusy = true;
      setTimeout(flush, delayMs).unref();
    },
    flushSync() {
      const text = take();
      if (text !== "") writeSync(fd, text);
    },
  };
}
