import { write, writeSync } from "node:fs";
import type { Millis } from "./types.ts";

/** A place for log lines that never makes the writer wait. */
export interface BufferedOutput {
  /** Adds a line; it is dropped and counted when the reader is too slow. */
  write(line: string): void;
  /** Writes what is buffered before the process ends. */
  flushSync(): void;
}

/** Options of {@linkcode createBufferedOutput}. */
export interface BufferedOutputOptions {
  /** File descriptor to write to. */
  fd: number;
  /** Milliseconds that lines are gathered before they are written together. */
  delayMs: Millis;
  /** Characters that are held at most. */
  maxChars: number;
}

/**
 * Creates an output that gathers lines and writes them in the background.
 *
 * @param options descriptor and bounds
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
      // A closed output cannot take a report of its own failure.
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
