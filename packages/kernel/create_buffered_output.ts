import { write, writeSync } from "node:fs";
import { makeNonBlocking } from "./_lib/make_non_blocking.ts";
import type { Millis } from "./types.ts";

/** An output for log lines that never blocks the writer. */
export interface BufferedOutput {
  /** Adds a line; it is dropped and counted when the buffer is full. */
  write(line: string): void;
  /**
   * Writes all buffered lines synchronously, before the process ends. What a pipe has no room for
   * within 50 ms is given up, so that a stalled reader cannot hold the exit.
   */
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

/** Longest wait of the last write for the reader of a pipe. */
const MAX_FLUSH_MS = 50;

/** Interval at which the last write tries again. */
const FLUSH_RETRY_MS = 2;

const EMPTY = Buffer.alloc(0);

/**
 * Creates an output that buffers lines and writes them in the background.
 *
 * Writes to a pipe or a socket are made non-blocking: one that waits for its reader would hold the
 * end of the process, also on a thread of the background.
 *
 * @param options file descriptor and limits
 * @returns the output
 *
 * @example
 * const output = createBufferedOutput({ fd: 1, delayMs: 200, maxChars: 262_144 });
 */
export function createBufferedOutput(options: BufferedOutputOptions): BufferedOutput {
  const { fd, delayMs, maxChars } = options;
  const isNonBlocking = makeNonBlocking(fd);
  let pending = "";
  /** Bytes of lines that were taken for writing and are not written. */
  let unwritten: Buffer = EMPTY;
  let dropped = 0;
  let isBusy = false;

  /** Reports whether there is anything to write. */
  const take = () => {
    if (unwritten.length > 0) return true;
    const note = dropped === 0
      ? ""
      : `{"level":40,"msg":"Log lines dropped","dropped":${dropped}}\n`;
    unwritten = Buffer.from(pending + note);
    pending = "";
    dropped = 0;
    return unwritten.length > 0;
  };
  const finishWrite = (err: Error | null, writtenBytes: number) => {
    if (err === null) {
      unwritten = unwritten.subarray(writtenBytes);
    } else if (!isPipeFull(err)) {
      // A failed write counts as a dropped line, because a closed output cannot report its failure.
      unwritten = EMPTY;
      dropped += 1;
    }
  };
  /** Writes until all is written or the output has no room. */
  const writeNow = () => {
    while (take()) {
      try {
        finishWrite(null, writeSync(fd, unwritten));
      } catch (err) {
        finishWrite(err as Error, 0);
        return;
      }
    }
  };
  const flush = () => {
    if (!take()) {
      isBusy = false;
      return;
    }
    const scheduleNext = () => void setTimeout(flush, delayMs).unref();
    if (isNonBlocking) {
      writeNow();
      scheduleNext();
      return;
    }
    const bytes = unwritten;
    // The last write must not repeat lines that the background is writing.
    unwritten = EMPTY;
    write(fd, bytes, (err, writtenBytes) => {
      unwritten = bytes;
      finishWrite(err, writtenBytes);
      scheduleNext();
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
      const endMs = performance.now() + MAX_FLUSH_MS;
      writeNow();
      while (unwritten.length > 0 && performance.now() < endMs) {
        pause(FLUSH_RETRY_MS);
        writeNow();
      }
    },
  };
}

/** Reports whether a write failed because its reader has not made room yet. */
function isPipeFull(err: Error): boolean {
  return "code" in err && err.code === "EAGAIN";
}

/** Blocks the thread. */
function pause(ms: Millis): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
