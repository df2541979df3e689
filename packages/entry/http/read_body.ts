import type { IncomingMessage } from "node:http";
import { createBodyCollector } from "@jaypass/client_limits";
import type { BodyCollector, MemoryBudget } from "@jaypass/client_limits";
import { BAD_REQUEST } from "../constants.ts";
import { BadRequestError } from "../errors.ts";

/** Options of {@linkcode readBody}. */
export interface ReadBodyOptions {
  maxBytes: number;
  /** Timeout for the complete body in milliseconds; bounds the memory held for slow senders. */
  timeoutMs: number;
  budget: MemoryBudget;
}

/** A body whose bytes are reserved in the budget until `release` is called. */
export interface BufferedBody {
  bytes: Buffer;
  release(): void;
}

/**
 * Reads the body of a request within limits of size, time and memory of the host.
 *
 * @param req the request
 * @param options limits and the memory budget of the host
 * @returns the body; the caller must call `release` when the request has ended
 * @throws {BadRequestError} if a limit is exceeded or the body is truncated
 *
 * @example
 * const body = await readBody(req, { maxBytes, timeoutMs, budget });
 */
export async function readBody(
  req: IncomingMessage,
  options: ReadBodyOptions,
): Promise<BufferedBody> {
  const { maxBytes, timeoutMs, budget } = options;
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) throw tooLarge(maxBytes);
  const body = createBodyCollector(budget, createBusyError);
  try {
    await collect(req, { body, maxBytes, timeoutMs, budget });
  } catch (err) {
    body.discard();
    throw err;
  }
  const bytes = body.finish();
  let isReleased = false;
  const release = () => {
    if (!isReleased) budget.release(bytes.length);
    isReleased = true;
  };
  return { bytes, release };
}

/**
 * Collects the chunks of a request.
 *
 * The request is not destroyed on an error, because the error response uses the same connection.
 */
function collect(
  req: IncomingMessage,
  { body, maxBytes, timeoutMs, budget }: ReadBodyOptions & { body: BodyCollector },
): Promise<void> {
  return new Promise((resolve, reject) => {
    const settle = (err?: unknown) => {
      clearTimeout(timer);
      // A whole body must not be given up: its request would go on with an empty one.
      budget.setGiveUp?.(undefined);
      req.off("data", onData).off("end", onEnd).off("close", onClose).off("error", onClose);
      if (err === undefined) return resolve();
      req.pause();
      reject(err);
    };
    const onData = (chunk: Buffer) => {
      try {
        if (body.length() + chunk.length > maxBytes) throw tooLarge(maxBytes);
        body.add(chunk);
      } catch (err) {
        settle(err);
      }
    };
    const onEnd = () => settle();
    const onClose = (cause?: unknown) => settle(truncated(cause));
    const timer = setTimeout(() => settle(bodyTimeout(timeoutMs)), timeoutMs);
    budget.setGiveUp?.(() => {
      body.discard();
      settle(createBusyError());
    });
    req.on("data", onData).on("end", onEnd).on("close", onClose).on("error", onClose);
  });
}

/** Creates the refusal of a request for which the host has no memory; it has not run. */
export function createBusyError(): BadRequestError {
  return new BadRequestError("Host holds too much for its callers", {
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
