import type { IncomingMessage } from "node:http";
import { BAD_REQUEST } from "../constants.ts";
import { BadRequestError } from "../errors.ts";
import type { BodyBudget } from "./create_body_budget.ts";

/** Options of {@linkcode readBody}. */
export interface ReadBodyOptions {
  maxBytes: number;
  /** Milliseconds for the whole body, so that a trickling sender cannot hold memory. */
  timeoutMs: number;
  budget: BodyBudget;
}

/** A body whose bytes are counted until `release`. */
export interface BufferedBody {
  bytes: Buffer;
  release(): void;
}

/**
 * Reads a request's body within bounds of size, time and host memory.
 *
 * @param req the request
 * @param options bounds
 * @returns the body; its owner calls `release` when the request has ended
 * @throws {BadRequestError} when a bound is exceeded or the body is cut off
 *
 * @example
 * const body = await readBody(req, { maxBytes, timeoutMs, budget });
 */
export async function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
): Promise<BufferedBody> {
  const { maxBytes, timeoutMs, budget } = options;
  let taken = 0;
  let released = false;
  const release = () => {
    if (!released) budget.release(taken);
    released = true;
  };
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) throw tooLarge(maxBytes);

  try {
    const bytes = await collect(req, {
      timeoutMs,
      onChunk: (length) => {
        if (taken + length > maxBytes) throw tooLarge(maxBytes);
        if (!budget.tryReserve(length)) throw hostBusy();
        taken += length;
      },
    });
    return { bytes, release };
  } catch (err) {
    release();
    throw err;
  }
}

/**
 * Collects the chunks of a request.
 *
 * The request is not destroyed on an error, because its connection still has to carry the refusal.
 */
function collect(
  req: IncomingMessage,
  options: { timeoutMs: number; onChunk: (length: number) => void },
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    const settle = (err?: unknown) => {
      clearTimeout(timer);
      req.off("data", onData).off("end", onEnd).off("close", onClose).off("error", onClose);
      if (err === undefined) return resolve(Buffer.concat(chunks));
      req.pause();
      reject(err);
    };
    const onData = (chunk: Buffer) => {
      try {
        options.onChunk(chunk.length);
        chunks.push(chunk);
      } catch (err) {
        settle(err);
      }
    };
    const onEnd = () => settle();
    const onClose = (cause?: unknown) => settle(truncated(cause));
    const timer = setTimeout(() => settle(bodyTimeout(options.timeoutMs)), options.timeoutMs);
    req.on("data", onData).on("end", onEnd).on("close", onClose).on("error", onClose);
  });
}

function hostBusy(): BadRequestError {
  return new BadRequestError("Host holds too many request bodies", {
    status: 503,
    reason: BAD_REQUEST.HOST_BUSY,
  });
}

function bodyTimeout(timeoutMs: number): BadRequestError {
  return new BadRequestError(`Body did not arrive within ${timeoutMs} ms`, {
    status: 408,
    reason: BAD_REQUEST.BODY_TIMEOUT,
  });
}

function truncated(cause: unknown): BadRequestError {
  return new BadRequestError("Body was cut off", {
    status: 400,
    reason: BAD_REQUEST.BODY_TRUNCATED,
    cause,
  });
}

function tooLarge(maxBytes: number): BadRequestError {
  return new BadRequestError(`Body exceeds ${maxBytes} bytes`, {
    status: 413,
    reason: BAD_REQUEST.BODY_TOO_LARGE,
  });
}
