import type { IncomingMessage } from "node:http";
import { runAfterRead } from "./run_after_read.ts";
import type { Millis } from "./types.ts";

/** Options of {@linkcode discardBody}. */
export interface DiscardBodyOptions {
  /** Most bytes that are read. */
  maxBytes: number;
  /** Time without data after which the rest is given up. */
  idleTimeoutMs: Millis;
  /** Time after which the rest is given up in any case; no limit by default. */
  timeoutMs?: Millis;
}

/**
 * Reads the rest of a request's body and discards it.
 *
 * A connection that is closed while its caller sends is reset, and the caller can lose the answer.
 *
 * @param req the request
 * @param options limits
 * @returns true once the body has ended; false if it was given up or the caller has left
 *
 * @example
 * res.write(body);
 * await discardBody(req, { maxBytes: 1_000_000, idleTimeoutMs: 1_000 });
 * res.end();
 */
export function discardBody(req: IncomingMessage, options: DiscardBodyOptions): Promise<boolean> {
  const { maxBytes, idleTimeoutMs, timeoutMs } = options;
  if (req.readableEnded || req.destroyed) return Promise.resolve(req.readableEnded);
  return new Promise((resolve) => {
    let length = 0;
    let isFinished = false;
    const finish = () => {
      isFinished = true;
      clearTimeout(timer);
      clearTimeout(endTimer);
      req.off("data", onData).off("end", finish).off("close", finish);
      resolve(req.readableEnded);
    };
    const timer = setTimeout(() => {
      const idleLength = length;
      // Data may have arrived while the process stood still.
      runAfterRead(() => {
        if (!isFinished && length === idleLength) finish();
      });
    }, idleTimeoutMs);
    const endTimer = timeoutMs === undefined ? undefined : setTimeout(finish, timeoutMs);
    const onData = (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) finish();
      else timer.refresh();
    };
    // The disconnect of a caller is reported by "close" as well.
    req.on("error", () => {});
    req.on("data", onData).once("end", finish).once("close", finish);
    req.resume();
  });
}
